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

/**
 * Stands in for the platform's store: rows, transactions with preconditions, and feeds. It can be away, and come back from
 * an older copy of its rows, with the counter of versions as it was then and the next `Store-Era`.
 */
final class Store extends Server {
    private static final long ANSWER_MS = 4;
    private static final Object[] GONE = {"410 Gone", Map.of()};

    private static final class Row {
        String table;
        String part;
        String key;
        String value;
        long version;
        boolean deleted;
    }

    /** The state of the store at one moment; rows are replaced and never changed. */
    private static final class Copy {
        final TreeMap<String, Row> rows;
        final long version;

        Copy(TreeMap<String, Row> rows, long version) {
            this.rows = new TreeMap<>(rows);
            this.version = version;
        }
    }

    private TreeMap<String, Row> rows = new TreeMap<>();
    private final long startedAt = System.nanoTime();
    private long version = 1;
    private int era = 1;
    private Copy copy;
    private boolean away;
    private boolean silent;

    /** Counts the times that the store was away; a call that was received before the last of them gets no response. */
    private int absences;
    private int declinedAsGone;

    Store(String host, int port) throws IOException {
        super(host, port);
    }

    /** Keeps the present state for {@link #restore}. */
    synchronized void keepCopy() {
        copy = new Copy(rows, version);
    }

    /** Responds to nothing until the store is back: calls hang if {@code silent}, and otherwise their channels are closed. */
    synchronized void leave(boolean silent) {
        away = true;
        this.silent = silent;
        absences++;
        notifyAll();
    }

    /** Comes back with the state of the copy, and returns by how many versions the counter went back. */
    synchronized long restore() {
        long lost = version - copy.version;
        rows = new TreeMap<>(copy.rows);
        version = copy.version;
        era++;
        comeBack();
        return lost;
    }

    /** Comes back with all that it had. */
    synchronized void comeBack() {
        away = false;
        notifyAll();
    }

    /** Returns how many reads were declined since the last call because the store lacked the version that they name. */
    synchronized int takeDeclinedAsGone() {
        int count = declinedAsGone;
        declinedAsGone = 0;
        return count;
    }

    synchronized long version() {
        return version;
    }

    /** Writes a row as the operator or a replica does; returns when the store has accepted it. */
    synchronized void put(String table, String key, String json) {
        if (away) throw new IllegalStateException("the store is away");
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
        int receivedIn = absences();
        Thread.sleep(ANSWER_MS);
        Object[] statusAndBody = respond(head, body, receivedIn);
        return statusAndBody != null && send(channel, statusAndBody, receivedIn);
    }

    private synchronized int absences() throws InterruptedException {
        if (awaitBack()) return -1;
        return absences;
    }

    /** Returns whether the store is or was away; a call that hangs does so until the store is back. */
    private boolean awaitBack() throws InterruptedException {
        if (!away) return false;
        while (away && silent) wait();
        return true;
    }

    private synchronized Object[] respond(Http.Head head, byte[] body, int receivedIn) throws InterruptedException {
        if (awaitBack() || receivedIn != absences) return null;
        Map<String, String> query = query(head.target());
        switch (head.method() + " " + head.target().split("\\?")[0]) {
            case "POST /rows-tx": return transact(new String(body, StandardCharsets.UTF_8));
            case "GET /rows-get": return get(query);
            case "GET /rows-feed": return feed(query, receivedIn);
            default: return new Object[] {"404 Not Found", Map.of()};
        }
    }

    private boolean send(Channel channel, Object[] statusAndBody, int receivedIn) throws IOException {
        String fields;
        synchronized (this) {
            if (receivedIn != absences) return false;
            fields = "Content-Type: application/json\r\nStore-Era: " + era + "\r\n";
        }
        byte[] body = Json.write(statusAndBody[1]).getBytes(StandardCharsets.UTF_8);
        channel.out.write(message((String) statusAndBody[0], fields, body));
        return true;
    }

    @SuppressWarnings("unchecked")
    private Object[] transact(String text) {
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

    private Object[] get(Map<String, String> query) {
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

    /** Returns the changes, or null if the store is away meanwhile. */
    private Object[] feed(Map<String, String> query, int receivedIn) throws InterruptedException {
        long after = Long.parseLong(query.get("after"));
        if (after > version) {
            declinedAsGone++;
            return GONE;
        }
        long end = System.nanoTime() + Long.parseLong(query.getOrDefault("waitMs", "0")) * 1_000_000;
        while (receivedIn == absences) {
            List<Row> changed = new ArrayList<>();
            for (Row row : rows.values()) {
                if (row.table.equals(query.get("tableName")) && row.version > after) changed.add(row);
            }
            changed.sort((a, b) -> Long.compare(a.version, b.version));
            long leftMs = (end - System.nanoTime()) / 1_000_000;
            if (!changed.isEmpty() || leftMs <= 0) return new Object[] {"200 OK", page(changed, false)};
            wait(leftMs);
        }
        awaitBack();
        return null;
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
