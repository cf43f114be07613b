import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Stands in for the platform's cloud interface, which refuses fencing tokens below one that it has seen, and keeps the usage reports. */
final class DutyCloud extends Server {
    /** A call that reports the usage of a window. */
    static final class Report {
        final long receivedAt;
        final String holder;
        final String machine;
        final long token;
        final long window;
        final Map<String, Object> counts;
        final boolean accepted;

        Report(long receivedAt, String holder, String machine, long token, long window, Map<String, Object> counts, boolean accepted) {
            this.receivedAt = receivedAt;
            this.holder = holder;
            this.machine = machine;
            this.token = token;
            this.window = window;
            this.counts = counts;
            this.accepted = accepted;
        }
    }

    private final Record record;
    private final List<Report> reports = new ArrayList<>();
    private long highest;

    DutyCloud(String host, int port, Record record) throws IOException {
        super(host, port);
        this.record = record;
    }

    synchronized List<Report> reports() {
        return new ArrayList<>(reports);
    }

    @Override
    @SuppressWarnings("unchecked")
    boolean handle(Http.Head head, byte[] body, Channel channel) throws IOException {
        if (!head.target().equals("/usage")) {
            channel.out.write(message("200 OK", "Content-Type: application/json\r\n", Http.bytes("{}")));
            return true;
        }
        Map<String, Object> call = (Map<String, Object>) Json.parse(new String(body, StandardCharsets.UTF_8));
        Report report = receive(head, call, channel.socket.getInetAddress().getHostAddress());
        record.line("usage    window=" + report.window + " holder=" + report.holder + " token=" + report.token
            + " counts=" + report.counts + (report.accepted ? "" : " REFUSED"));
        channel.out.write(message(report.accepted ? "200 OK" : "409 Conflict", "Content-Type: application/json\r\n", Http.bytes("{}")));
        return true;
    }

    @SuppressWarnings("unchecked")
    private synchronized Report receive(Http.Head head, Map<String, Object> call, String machine) {
        long token = Long.parseLong(head.field("X-Fencing-Token"));
        Report report = new Report(System.currentTimeMillis(), head.field("X-Duty-Holder"), machine, token,
            (Long) call.get("windowNumber"), (Map<String, Object>) call.get("counts"), token >= highest);
        highest = Math.max(highest, token);
        reports.add(report);
        return report;
    }

    /** Returns what is wrong with the reports themselves: tokens that went back or have two holders, two reports for a window. */
    synchronized List<String> faults() {
        List<String> faults = new ArrayList<>();
        Map<Long, String> holders = new HashMap<>();
        Map<Long, Map<String, Object>> accepted = new HashMap<>();
        long highestSoFar = 0;
        for (Report report : reports) {
            String of = " (window " + report.window + ", " + report.holder + ")";
            if (report.token < highestSoFar) faults.add("the token went back from " + highestSoFar + " to " + report.token + of);
            highestSoFar = Math.max(highestSoFar, report.token);
            String other = holders.putIfAbsent(report.token, report.holder);
            if (other != null && !other.equals(report.holder)) faults.add("the token " + report.token + " has two holders" + of);
            if (!report.accepted) continue;
            Map<String, Object> first = accepted.putIfAbsent(report.window, report.counts);
            if (first != null && !first.equals(report.counts)) faults.add("two reports with different counts" + of);
        }
        return faults;
    }
}
