import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Another writer leaves an entry among those of the replicas that can't be read. Later a sound replica reports that it
 * drains. No request that a client sends later than `drainMs` after the store's ack of that may reach it.
 */
final class BadEntry {
    private static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));
    private static final int NODES = 4;
    private static final int REPLICAS = 3;
    private static final int CLIENTS = 12;
    private static final long DRAIN_MS = 2_000;

    /** The store is free of disturbance from the start; the waits are longer than `contactMs`, 3 s. */
    private static final long BEFORE_ENTRY_MS = 5_000;
    private static final long BEFORE_DRAIN_MS = 5_000;
    private static final long AFTER_DRAIN_MS = 10_000;
    private static final long RESTART_MS = 20_000;

    private static final String ROUTE = "/puxa403/";

    private BadEntry() {}

    /** Notes when clients sent the requests that it runs. */
    private static final class LeavingReplica extends Replica {
        private final Map<String, Double> sentAt;
        private final AtomicInteger late = new AtomicInteger();
        private volatile double drainedAt = Double.MAX_VALUE;

        LeavingReplica(Fleet fleet, String id, Map<String, AtomicInteger> runs, Map<String, Double> sentAt) throws IOException {
            super(fleet, id, "wuno96b", 0, 6, 24, 21, runs);
            this.sentAt = sentAt;
        }

        @Override
        void answer(String attempt, Http.Head head, Channel channel) throws IOException, InterruptedException {
            if (sentAt.get(attempt) > drainedAt + DRAIN_MS) {
                late.incrementAndGet();
                record.line("late     " + attempt + " replica=" + id);
            }
            super.answer(attempt, head, channel);
        }
    }

    public static void main(String[] args) throws Exception {
        Record record = new Record(Path.of(args[1]));
        int exitCode;
        try (Fleet fleet = new Fleet(Path.of(args[0]), record)) {
            exitCode = play(fleet, record);
        }
        record.close();
        System.exit(exitCode);
    }

    private static int play(Fleet fleet, Record record) throws Exception {
        fleet.configure(7, Fleet.route(ROUTE, "non_idempotent", 1_500, 121, "wuno96b", 2, false), Fleet.service("wuno96b", 110));
        Map<String, AtomicInteger> runs = Replica.noRuns();
        Map<String, Double> sentAt = new ConcurrentHashMap<>();
        LeavingReplica leaving = new LeavingReplica(fleet, "i-1", runs, sentAt);
        leaving.register();
        for (int i = 1; i < REPLICAS; i++) new Replica(fleet, "i-" + (i + 1), "wuno96b", i, 6, 24, 21, runs).register();
        for (int i = 0; i < NODES; i++) fleet.startNode(i);
        if (!fleet.awaitReady(30_000)) {
            System.out.println("the nodes did not get ready");
            return 2;
        }
        long end = System.nanoTime() + (BEFORE_ENTRY_MS + BEFORE_DRAIN_MS + AFTER_DRAIN_MS) * 1_000_000;
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            Client client = new Client(fleet.clientAddresses.get(i % NODES), 1_500);
            clients.add(new Thread(() -> send(client, record, sentAt, end)));
        }
        for (Thread client : clients) client.start();
        Thread.sleep(BEFORE_ENTRY_MS);
        if (TROUBLE) {
            String entry = "{\"service\":\"wuno96b\",\"address\":\"" + fleet.nextHost() + ":8225\",\"zone\":\"gt-central-a\",\"batchSlots\":\"6";
            fleet.store.put("servers", "i-9", entry);
            record.line("entry    key=i-9 value=" + entry);
        }
        Thread.sleep(BEFORE_DRAIN_MS);
        leaving.drain();
        leaving.drainedAt = record.now();
        record.line("draining replica=i-1, accepted by the store");
        for (Thread client : clients) client.join();
        boolean ready = isReadyAfterRestart(fleet, record);
        System.out.printf("sent=%d run_by_the_draining_replica_too_late=%d ready_after_a_restart=%b%n", sentAt.size(), leaving.late.get(), ready);
        if (sentAt.size() < 500) return 2;
        return leaving.late.get() > 0 ? 1 : 0;
    }

    /** Restarts one node as planned work and returns whether it gets ready; the verdict does not depend on that. */
    private static boolean isReadyAfterRestart(Fleet fleet, Record record) throws Exception {
        Process node = fleet.processes.get(0);
        node.destroy();
        if (!node.waitFor(9, TimeUnit.SECONDS)) node.destroyForcibly().waitFor();
        int i = fleet.processes.size();
        fleet.startNode(i);
        String address = fleet.readyAddresses.get(i);
        long end = System.nanoTime() + RESTART_MS * 1_000_000;
        while (System.nanoTime() < end) {
            if (Fleet.get(address, "/readiness") != null) {
                record.line("ready    after a restart");
                return true;
            }
            Thread.sleep(100);
        }
        record.line("unready  " + RESTART_MS + " ms after a restart");
        return false;
    }

    private static void send(Client client, Record record, Map<String, Double> sentAt, long end) {
        byte[] body = Http.bytes("seat=12A".repeat(75));
        while (System.nanoTime() < end) {
            String attempt = Client.newAttempt();
            sentAt.put(attempt, record.now());
            record.line("send     " + attempt);
            int status = client.exchange("POST", ROUTE + "2f", attempt, body);
            record.line("answer   " + attempt + " status=" + status);
            try {
                Thread.sleep(150);
            } catch (InterruptedException e) {
                return;
            }
        }
        client.close();
    }
}
