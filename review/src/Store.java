import java.io.IOException;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Stands in for the platform's store: rows, transactions with preconditions, and feeds. */
final class Store extends Server {
    private static final long ANSWER_MS = 4;

    private static final class Row {
        String table;
        String part;
        String key;
        String value;
        long version;
        boolean deleted;
    }

    private final TreeMap<String, Row> rows = new TreeMap<>();
    private final long startedAt = System.nanoTime();
    private long version = 1;

    Store(String host, int port) throws IOException {
        super(host, port);
    }

    /** Writes a row as the operator or a replica does. */
    synchronized void put(String table, String key, String json) {
        version++;
        write(table, "", key, Base64.getEncoder().encodeToString(json.getBytes(StandardCharsets.UTF_8)), false);
        notifyAll();
    }

    synchronized void remove(String table, String key) {
        version++;
        write(table, "", key, "", true);
        notifyAll();
    }

    private void write(String table, String part, String key, String value, boolean deleted) {
        Row row = new Row();
        row.table = table;
        row.part = part;
        row.key = key;
        row.value = value;
        row.version = version;
        row.deleted = deleted;
        rows.put(id(table, part, key), row);
    }

    private static String id(String table, String part, String key) {
        return table + "\u0001" + part + "\u0001" + key;
    }

    @Override
    boolean handle(Http.Head head, byte[] body, Channel channel) throws IOException, InterruptedException {
        String path = head.target().split("\\?")[0];
        Map<String, String> query = query(head.target());
        Thread.sleep(ANSWER_MS);
        switch (head.method() + " " + path) {
            case "POST /rows-tx": return answer(channel, transact(new String(body, StandardCharsets.UTF_8)));
            case "GET /rows-get": return answer(channel, get(query));
            case "GET /rows-feed": return answer(channel, feed(query));
            default:
                channel.out.write(message("404 Not Found", "", new byte[0]));
                return true;
        }
    }

    private boolean answer(Channel channel, Object[] statusAndBody) throws IOException {
        byte[] body = Json.write(statusAndBody[1]).getBytes(StandardCharsets.UTF_8);
        channel.out.write(message((String) statusAndBody[0], "Content-Type: application/json\r\n", body));
        return true;
    }

    @SuppressWarnings("unchecked")
    private synchronized Object[] transact(String text) {
        Map<String, Object> call = (Map<String, Object>) Json.parse(text);
        List<Row> current = new ArrayList<>();
        boolean holds = true;
        for (Map<String, Object> wanted : entries(call, "precondition")) {
            Row row = rows.get(id(wanted));
            boolean exists = row != null && !row.deleted;
            if (exists) current.add(row);
            if ((exists ? row.version : 0) != (Long) wanted.get("rowVersion")) holds = false;
        }
        if (!holds) return new Object[] {"412 Precondition Failed", page(current, false)};
        version++;
        for (Map<String, Object> row : entries(call, "write")) {
            write((String) row.get("tableName"), part(row), (String) row.get("key"), (String) row.get("value"), false);
        }
        for (Map<String, Object> row : entries(call, "remove")) {
            write((String) row.get("tableName"), part(row), (String) row.get("key"), "", true);
        }
        notifyAll();
        return new Object[] {"200 OK", page(new ArrayList<>(), false)};
    }

    private synchronized Object[] get(Map<String, String> query) {
        int limit = Integer.parseInt(query.getOrDefault("maxItems", "500"));
        List<Row> found = new ArrayList<>();
        boolean more = false;
        for (Row row : rows.values()) {
            if (row.deleted || !row.table.equals(query.get("tableName")) || !row.part.equals(query.getOrDefault("part", ""))) continue;
            if (row.key.compareTo(query.getOrDefault("source", "")) < 0) continue;
            if (query.containsKey("to") && row.key.compareTo(query.get("to")) >= 0) continue;
            if (found.size() == limit) {
                more = true;
                break;
            }
            found.add(row);
        }
        return new Object[] {"200 OK", page(found, more)};
    }

    private synchronized Object[] feed(Map<String, String> query) throws InterruptedException {
        long after = Long.parseLong(query.get("after"));
        long end = System.nanoTime() + Long.parseLong(query.getOrDefault("waitMs", "0")) * 1_000_000;
        while (true) {
            List<Row> changed = new ArrayList<>();
            for (Row row : rows.values()) {
                if (row.table.equals(query.get("tableName")) && row.version > after) changed.add(row);
            }
            changed.sort((a, b) -> Long.compare(a.version, b.version));
            long leftMs = (end - System.nanoTime()) / 1_000_000;
            if (!changed.isEmpty() || leftMs <= 0) return new Object[] {"200 OK", page(changed, false)};
            wait(leftMs);
        }
    }

    private Map<String, Object> page(List<Row> listed, boolean more) {
        List<Object> items = new ArrayList<>();
        for (Row row : listed) {
            Map<String, Object> item = new LinkedHashMap<>();
            item.put("tableName", row.table);
            item.put("part", row.part);
            item.put("key", row.key);
            item.put("value", row.value);
            item.put("rowVersion", row.version);
            if (row.deleted) item.put("deleted", true);
            items.add(item);
        }
        Map<String, Object> page = new LinkedHashMap<>();
        page.put("rows", items);
        page.put("hasMore", more);
        page.put("rowVersion", version);
        page.put("nowMs", (System.nanoTime() - startedAt) / 1_000_000);
        return page;
    }

    @SuppressWarnings("unchecked")
    private static List<Map<String, Object>> entries(Map<String, Object> call, String name) {
        Object list = call.get(name);
        return list == null ? new ArrayList<>() : (List<Map<String, Object>>) list;
    }

    private static String id(Map<String, Object> row) {
        return id((String) row.get("tableName"), part(row), (String) row.get("key"));
    }

    private static String part(Map<String, Object> row) {
        return (String) row.getOrDefault("part", "");
    }

    private static Map<String, String> query(String target) {
        Map<String, String> query = new HashMap<>();
        if (target.indexOf('?') < 0) return query;
        for (String pair : target.substring(target.indexOf('?') + 1).split("&")) {
            String[] parts = pair.split("=", 2);
            query.put(parts[0], URLDecoder.decode(parts.length > 1 ? parts[1] : "", StandardCharsets.UTF_8));
        }
        return query;
    }
}
