import java.io.IOException;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/** Stands in for a replica of a model whose software has a version; its events name it. */
final class VersionReplica extends StreamReplica {
    static final int EVENTS = 12;
    private static final long FIRST_EVENT_MS = 60;
    private static final long EVENT_MS = 40;

    private final Fleet fleet;
    private final String service;
    private final String zone;
    private final String version;
    private final long born = System.currentTimeMillis();

    VersionReplica(Fleet fleet, String id, String service, int zone, String version, Map<String, AtomicInteger> runs) throws IOException {
        super(fleet, id, service, zone, runs);
        this.fleet = fleet;
        this.service = service;
        this.zone = Fleet.zone(zone);
        this.version = version;
    }

    @Override
    void register() {
        start();
        fleet.store.put("servers", id,
            "{\"service\":\"" + service + "\",\"address\":\"" + address + "\",\"zone\":\"" + zone + "\",\"version\":\"" + version
                + "\",\"batchSlots\":64,\"state\":\"ready\",\"coldRemainingMs\":0,\"sequence\":1,\"born\":" + born + "}");
    }

    @Override
    void work(String attempt, Http.Head head, Channel channel) throws IOException, InterruptedException {
        String last = head.field("Last-Event-Id");
        Thread.sleep(FIRST_EVENT_MS);
        channel.out.write(streamHead(attempt));
        for (int event = last == null ? 1 : Integer.parseInt(last) + 1; event <= EVENTS; event++) {
            channel.out.write(chunk("id: " + event + "\ndata: " + version + "\n\n"));
            Thread.sleep(EVENT_MS);
        }
        channel.out.write(Http.bytes("0\r\n\r\n"));
    }
}
