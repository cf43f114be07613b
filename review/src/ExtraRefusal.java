import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A replica sends a second copy of a few of its answers, late, at the point where the next answer is expected. No request
 * of a route that isn't idempotent may run more than once.
 */
final class ExtraRefusal {
    private static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));
    private static final int NODES = 4;
    private static final int REPLICAS = 3;
    private static final int CLIENTS = 34;

    /** The requests that a replica lets wait; it rejects those beyond. */
    private static final int QUEUE = 3;

    /** The mean pause of a client between an answer and its next request. */
    private static final int THINK_MS = 50;
    private static final long LENGTH_MS = 90_000;

    /** Of each seven seconds, the extra answers come in five. */
    private static final long PERIOD_MS = 7_000;
    private static final long TROUBLE_MS = 5_000;

    /** One answer in 34 is sent twice: a share of 0.0294. */
    private static final int EXTRA_EVERY = 34;

    private ExtraRefusal() {}

    /** A sound replica but for the extra answers. */
    private static final class RepeatingReplica extends Replica {
        private final AtomicInteger answers = new AtomicInteger();
        private final AtomicInteger extras = new AtomicInteger();
        private volatile boolean active;

        RepeatingReplica(Fleet fleet, String id, int zone, Map<String, AtomicInteger> runs) throws IOException {
            super(fleet, id, "wuno96b", zone, 6, QUEUE, 86, runs);
        }

        @Override
        boolean handle(Http.Head head, byte[] body, Channel channel) throws IOException, InterruptedException {
            byte[] extra = channel.note;
            channel.note = null;
            if (extra != null) {
                record.line("extra    replica=" + id + " at=" + head.field("X-Attempt-Id") + " is="
                    + new String(extra).lines().limit(2).reduce((a, b) -> a + ", " + b).orElse(""));
                channel.out.write(extra);
            }
            return super.handle(head, body, channel);
        }

        @Override
        void send(Channel channel, byte[] answer) throws IOException {
            if (active && answers.incrementAndGet() % EXTRA_EVERY == 0) {
                extras.incrementAndGet();
                channel.note = answer;
            }
            super.send(channel, answer);
        }
    }

    public static void main(String[] args) throws Exception {
        Record record = new Record(Path.of(args[1]));
        Map<String, AtomicInteger> runs = Replica.noRuns();
        int exitCode;
        try (Fleet fleet = new Fleet(Path.of(args[0]), record)) {
            exitCode = play(fleet, record, runs);
        }
        record.close();
        System.exit(exitCode);
    }

    private static int play(Fleet fleet, Record record, Map<String, AtomicInteger> runs) throws Exception {
        fleet.configure(7, Fleet.route("/puxa403/", "non_idempotent", 1_500, 386, "wuno96b", 2, false), Fleet.service("wuno96b", 110));
        RepeatingReplica repeating = new RepeatingReplica(fleet, "i-1", 0, runs);
        repeating.register();
        for (int i = 1; i < REPLICAS; i++) new Replica(fleet, "i-" + (i + 1), "wuno96b", i, 6, QUEUE, 86, runs).register();
        for (int i = 0; i < NODES; i++) fleet.startNode(i);
        if (!fleet.awaitReady(30_000)) {
            System.out.println("the nodes did not get ready");
            return 2;
        }
        AtomicInteger sent = new AtomicInteger();
        AtomicInteger[] statuses = new AtomicInteger[600];
        for (int i = 0; i < statuses.length; i++) statuses[i] = new AtomicInteger();
        Set<String> refused = ConcurrentHashMap.newKeySet();
        long end = System.nanoTime() + LENGTH_MS * 1_000_000;
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            Client client = new Client(fleet.clientAddresses.get(i % NODES), 1_500);
            Thread thread = new Thread(() -> send(client, record, sent, statuses, refused, end));
            clients.add(thread);
            thread.start();
        }
        long start = System.nanoTime();
        while (System.nanoTime() < end) {
            long elapsedMs = (System.nanoTime() - start) / 1_000_000;
            repeating.active = TROUBLE && elapsedMs % PERIOD_MS >= PERIOD_MS - TROUBLE_MS;
            Thread.sleep(50);
        }
        for (Thread client : clients) client.join();
        Thread.sleep(500);
        long again = runs.values().stream().filter(count -> count.get() > 1).count();
        long falselyRefused = refused.stream().filter(runs::containsKey).count();
        System.out.printf(
            "sent=%d answered_200=%d answered_503=%d answered_502=%d extra_answers=%d run_more_than_once=%d refused_but_run=%d%n",
            sent.get(), statuses[200].get(), statuses[503].get(), statuses[502].get(), repeating.extras.get(), again,
            falselyRefused);
        if (sent.get() < 1_000) return 2;
        return again > 0 ? 1 : 0;
    }

    private static void send(
        Client client, Record record, AtomicInteger sent, AtomicInteger[] statuses, Set<String> refused, long end
    ) {
        byte[] body = Http.bytes("seat=12A".repeat(75));
        while (System.nanoTime() < end) {
            String attempt = Client.newAttempt();
            record.line("send     " + attempt);
            sent.incrementAndGet();
            int status = client.exchange("POST", "/puxa403/2f", attempt, body);
            record.line("answer   " + attempt + " status=" + status);
            if (status > 0) statuses[status].incrementAndGet();
            if (status == 503) refused.add(attempt);
            String wait = status == 503 ? client.answer.field("Retry-After") : null;
            pause((long) (wait == null ? -Math.log(1 - Math.random()) * THINK_MS : 1_000 * Double.parseDouble(wait)));
        }
        client.close();
    }

    private static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
