import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One machine is partitioned from the store for five seconds, again and again. Right after each time a replica leaves: its entry
 * is removed. No request that a client sends to a machine in touch later than `drainMs` after that may reach it.
 */
final class StaleGrace {
    private static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));
    private static final int NODES = 4;
    private static final int CUTS = 6;
    private static final long CUT_MS = 5_000;
    private static final long LEAVE_AFTER_MS = 100;
    private static final long DRAIN_MS = 2_000;
    private static final long CONTACT_MS = 3_000;
    private static final long BETWEEN_MS = 9_000;
    private static final String ROUTE = "/puxa403/";

    private StaleGrace() {}

    /** A sound replica that notes requests which were sent later than they may reach it. */
    private static final class LeavingReplica extends Replica {
        private final Map<String, Double> sentAt;
        private final AtomicInteger late;
        private volatile double earliestBreak = Double.MAX_VALUE;

        LeavingReplica(Fleet fleet, int i, Map<String, AtomicInteger> runs, Map<String, Double> sentAt, AtomicInteger late) throws IOException {
            super(fleet, "i-" + i, "wuno96b", i, 6, 24, 21, runs);
            this.sentAt = sentAt;
            this.late = late;
        }

        @Override
        void answer(String attempt, Http.Head head, Channel channel) throws IOException, InterruptedException {
            if (sentAt.get(attempt) > earliestBreak) {
                late.incrementAndGet();
                record.line("late     " + attempt + " replica=" + id + " by_ms=" + Math.round(sentAt.get(attempt) - earliestBreak));
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
        AtomicInteger late = new AtomicInteger();
        List<LeavingReplica> replicas = new ArrayList<>();
        for (int i = 0; i < CUTS + 2; i++) replicas.add(new LeavingReplica(fleet, i, runs, sentAt, late));
        for (LeavingReplica replica : replicas) replica.register();
        CutProxy path = new CutProxy(fleet.nextHost(), 8225, fleet.store.address);
        fleet.startNode(0, path.address);
        for (int i = 1; i < NODES; i++) fleet.startNode(i);
        if (!fleet.awaitReady(30_000)) {
            System.out.println("the nodes did not get ready");
            return 2;
        }
        long end = System.nanoTime() + (4_000 + CUTS * (CUT_MS + BETWEEN_MS)) * 1_000_000;
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < 3 * NODES; i++) {
            Client client = new Client(fleet.clientAddresses.get(i % NODES), 1_500);
            clients.add(new Thread(() -> send(client, record, sentAt, end)));
        }
        for (Thread client : clients) client.start();
        Thread.sleep(4_000);
        for (int i = 0; i < CUTS; i++) {
            record.line("cut      node=1 from the store");
            if (TROUBLE) path.cut();
            // Other phases against the node's calls.
            Thread.sleep(CUT_MS - 70 * i);
            if (TROUBLE) path.heal();
            double healedAt = record.now();
            record.line("healed   node=1");
            Thread.sleep(LEAVE_AFTER_MS);
            LeavingReplica leaving = replicas.get(i);
            leaving.leave();
            double removedAt = record.now();
            // A machine is in touch again `contactMs` after the cut.
            leaving.earliestBreak = Math.max(removedAt + DRAIN_MS, healedAt + CONTACT_MS);
            record.line("removed  replica=" + leaving.id + ", acknowledged by the store");
            Thread.sleep(BETWEEN_MS - LEAVE_AFTER_MS);
        }
        for (Thread client : clients) client.join();
        System.out.printf("sent=%d reached_a_replica_that_had_left=%d%n", sentAt.size(), late.get());
        if (sentAt.size() < 500) return 2;
        return late.get() > 0 ? 1 : 0;
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
                Thread.sleep(30);
            } catch (InterruptedException e) {
                return;
            }
        }
        client.close();
    }
}
