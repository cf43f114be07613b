import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One answer of a model replica goes on with bytes that are no events, without end, until its caller closes the channel.
 * The requests of other clients, to another service, must get a final answer within half a second after the `timeoutMs` of
 * their route.
 */
final class EndlessAnswer {
    private static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));
    private static final int NODES = 4;
    private static final int MODEL_REPLICAS = 6;
    private static final int APP_REPLICAS = 3;
    private static final int STREAM_CLIENTS = 16;
    private static final int APP_CLIENTS = 24;
    private static final int APP_TIMEOUT_MS = 800;
    private static final int APP_BUDGET_MS = 1_500;
    private static final int STREAM_BUDGET_MS = 5_000;
    private static final long LENGTH_MS = 40_000;

    /** The answers of the faulty replica before the one that does not end: a share of less than 0.02 of its answers. */
    private static final int SOUND_ANSWERS = 50;

    private EndlessAnswer() {}

    /** What the answer without end consists of. */
    private enum Garbage {
        /** Chunks of 4 bytes, about the text of one token, with no line end. */
        PIECES {
            @Override
            byte[] bytes() {
                return Http.bytes(new String(StreamReplica.chunk("abcd")).repeat(900));
            }
        },

        /** Large chunks of empty lines. */
        LINES {
            @Override
            byte[] bytes() {
                return StreamReplica.chunk("\n".repeat(16_000));
            }
        };

        abstract byte[] bytes();
    }

    /** A sound replica but for one answer. */
    private static final class EndlessReplica extends StreamReplica {
        private final AtomicInteger answers = new AtomicInteger();
        private final byte[] garbage;

        EndlessReplica(Fleet fleet, String id, int zone, Map<String, AtomicInteger> runs, byte[] garbage) throws IOException {
            super(fleet, id, "huvo11a", zone, runs);
            this.garbage = garbage;
        }

        @Override
        void work(String attempt, Http.Head head, Channel channel) throws IOException, InterruptedException {
            if (answers.getAndIncrement() != SOUND_ANSWERS || !TROUBLE) {
                super.work(attempt, head, channel);
                return;
            }
            record.line("endless  " + attempt + " replica=" + id);
            long sent = 0;
            try {
                channel.out.write(streamHead(attempt));
                while (true) {
                    channel.out.write(garbage);
                    sent += garbage.length;
                }
            } finally {
                record.line("closed   " + attempt + " replica=" + id + " after_bytes=" + sent);
            }
        }
    }

    /** What the clients of one node saw. */
    private static final class Seen {
        final AtomicInteger sent = new AtomicInteger();
        final AtomicInteger late = new AtomicInteger();
        final AtomicInteger unanswered = new AtomicInteger();
    }

    public static void main(String[] args) throws Exception {
        Record record = new Record(Path.of(args[1]));
        byte[] garbage = Garbage.valueOf(args[2].toUpperCase(Locale.ROOT)).bytes();
        int exitCode;
        try (Fleet fleet = new Fleet(Path.of(args[0]), record)) {
            exitCode = play(fleet, record, garbage);
        }
        record.close();
        System.exit(exitCode);
    }

    private static int play(Fleet fleet, Record record, byte[] garbage) throws Exception {
        fleet.configure(7,
            Fleet.route("/puxa403/", "non_idempotent", APP_TIMEOUT_MS, 121, "wuno96b", 2, false) + ","
                + Fleet.route("/lohu930/", "streaming", STREAM_BUDGET_MS, 800, "huvo11a", 1, false),
            Fleet.service("wuno96b", 110) + "," + Fleet.service("huvo11a", 370));
        Map<String, AtomicInteger> runs = Replica.noRuns();
        new EndlessReplica(fleet, "i-1", 0, runs, garbage).register();
        for (int i = 1; i < MODEL_REPLICAS; i++) new StreamReplica(fleet, "i-" + (i + 1), "huvo11a", i, runs).register();
        for (int i = 0; i < APP_REPLICAS; i++) new Replica(fleet, "j-" + (i + 1), "wuno96b", i, 6, 24, 21, runs).register();
        for (int i = 0; i < NODES; i++) fleet.startNode(i);
        if (!fleet.awaitReady(30_000)) {
            System.out.println("the nodes did not get ready");
            return 2;
        }
        Thread.sleep(3_000);
        Seen[] seen = new Seen[NODES];
        for (int i = 0; i < NODES; i++) seen[i] = new Seen();
        long end = System.nanoTime() + LENGTH_MS * 1_000_000;
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < STREAM_CLIENTS; i++) {
            Client client = new Client(fleet.clientAddresses.get(i % NODES), STREAM_BUDGET_MS);
            clients.add(new Thread(() -> sendStreams(client, record, end)));
        }
        for (int i = 0; i < APP_CLIENTS; i++) {
            int node = i % NODES;
            Client client = new Client(fleet.clientAddresses.get(node), APP_BUDGET_MS);
            clients.add(new Thread(() -> sendBookings(client, record, node, seen[node], end)));
        }
        for (Thread client : clients) client.start();
        for (Thread client : clients) client.join();
        return verdict(seen);
    }

    private static int verdict(Seen[] seen) {
        int late = Arrays.stream(seen).mapToInt(s -> s.late.get()).sum();
        int unanswered = Arrays.stream(seen).mapToInt(s -> s.unanswered.get()).sum();
        int sent = Arrays.stream(seen).mapToInt(s -> s.sent.get()).sum();
        for (int i = 0; i < NODES; i++) {
            System.out.printf("node %d: sent=%d unanswered_at_timeout=%d of_these_half_a_second_later=%d%n",
                i + 1, seen[i].sent.get(), seen[i].late.get(), seen[i].unanswered.get());
        }
        System.out.printf("all: sent=%d unanswered_at_timeout=%d of_these_half_a_second_later=%d%n", sent, late, unanswered);
        if (sent < 500) return 2;
        return unanswered >= 8 && 2 * unanswered > late ? 1 : 0;
    }

    private static void sendBookings(Client client, Record record, int node, Seen seen, long end) {
        byte[] body = Http.bytes("seat=12A".repeat(75));
        while (System.nanoTime() < end) {
            String attempt = Client.newAttempt();
            record.line("send     " + attempt + " node=" + (node + 1));
            seen.sent.incrementAndGet();
            long start = System.nanoTime();
            int status = client.exchange("POST", "/puxa403/2f", attempt, body);
            long elapsedMs = (System.nanoTime() - start) / 1_000_000;
            record.line("answer   " + attempt + " status=" + status + " after_ms=" + elapsedMs);
            if (elapsedMs > APP_TIMEOUT_MS) seen.late.incrementAndGet();
            if (elapsedMs > APP_TIMEOUT_MS + 500) seen.unanswered.incrementAndGet();
            pause(200);
        }
        client.close();
    }

    private static void sendStreams(Client client, Record record, long end) {
        byte[] body = Http.bytes("words ".repeat(700));
        while (System.nanoTime() < end) {
            String attempt = Client.newAttempt();
            record.line("send     " + attempt);
            int status = client.stream("/lohu930/2f", attempt, body);
            record.line("answer   " + attempt + " status=" + status);
            pause(200);
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
