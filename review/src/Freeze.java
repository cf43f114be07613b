import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Each node freezes twice for four seconds, one node after the other. Clients whose requests it doesn't read leave and ask another
 * node. Afterwards, in steady state, requests on a route that was added later must be served about as often as those on the
 * first route.
 */
final class Freeze {
    private static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));
    private static final int NODES = 4;
    private static final int MODEL_REPLICAS = 2;
    private static final int APP_REPLICAS = 3;
    private static final int STREAM_CLIENTS = 150;
    private static final int BOOKING_CLIENTS = 12;
    private static final int ROUNDS = 2;
    private static final long FREEZE_MS = 4_000;
    private static final long BETWEEN_MS = 2_000;

    /** More than `contactMs`, 3 s. */
    private static final long SETTLE_MS = 8_000;
    private static final long STEADY_MS = 20_000;

    /** The mean pause of a client between two streams. */
    private static final int THINK_MS = 3_000;
    private static final int STREAM_BUDGET_MS = 3_000;

    /** A client leaves if a node has not read its request after a second or a third of its time. */
    private static final int UNREAD_MS = 1_000;
    private static final int BOOKING_BUDGET_MS = 1_500;
    private static final Random RANDOM = new Random();

    private final Fleet fleet;
    private final Record record;
    private final Set<String> frozen = ConcurrentHashMap.newKeySet();
    private final Count streams = new Count();
    private final Count bookings = new Count();
    private volatile boolean steady;
    private volatile boolean ended;

    private Freeze(Fleet fleet, Record record) {
        this.fleet = fleet;
        this.record = record;
    }

    /** The requests that were sent in steady state. */
    private static final class Count {
        final AtomicInteger sent = new AtomicInteger();
        final AtomicInteger served = new AtomicInteger();

        double share() {
            return sent.get() == 0 ? 0 : (double) served.get() / sent.get();
        }
    }

    public static void main(String[] args) throws Exception {
        Record record = new Record(Path.of(args[1]));
        int exitCode;
        try (Fleet fleet = new Fleet(Path.of(args[0]), record)) {
            exitCode = new Freeze(fleet, record).play();
        }
        record.close();
        System.exit(exitCode);
    }

    private int play() throws Exception {
        String first = Fleet.route("/puxa403/", "non_idempotent", 1_500, 121, "wuno96b", 2, false);
        String added = Fleet.route("/pufi791/", "streaming", 3_000, 600, "huvo11a", 2, true);
        String services = Fleet.service("wuno96b", 110) + "," + Fleet.service("huvo11a", 370);
        fleet.configure(7, first, services);
        Map<String, AtomicInteger> runs = Replica.noRuns();
        for (int i = 0; i < MODEL_REPLICAS; i++) new StreamReplica(fleet, "i-" + (i + 1), "huvo11a", i, runs).register();
        for (int i = 0; i < APP_REPLICAS; i++) new Replica(fleet, "j-" + (i + 1), "wuno96b", i, 6, 24, 21, runs).register();
        for (int i = 0; i < NODES; i++) fleet.startNode(i);
        if (!fleet.awaitReady(30_000)) {
            System.out.println("the nodes did not get ready");
            return 2;
        }
        fleet.configure(9, first + "," + added, services);
        record.line("config   version=9 adds /pufi791/");
        Thread.sleep(3_000);
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < STREAM_CLIENTS; i++) clients.add(new Thread(this::sendStreams));
        for (int i = 0; i < BOOKING_CLIENTS; i++) {
            String address = fleet.clientAddresses.get(i % NODES);
            clients.add(new Thread(() -> sendBookings(address)));
        }
        for (Thread client : clients) client.start();
        Thread.sleep(3_000);
        for (int i = 0; i < ROUNDS * NODES; i++) freeze(i % NODES);
        Thread.sleep(SETTLE_MS);
        steady = true;
        record.line("steady");
        Thread.sleep(STEADY_MS);
        ended = true;
        for (Thread client : clients) client.join();
        System.out.printf("in steady state: added route sent=%d served=%d share=%.3f, first route sent=%d served=%d share=%.3f%n",
            streams.sent.get(), streams.served.get(), streams.share(), bookings.sent.get(), bookings.served.get(), bookings.share());
        if (streams.sent.get() < 20 || bookings.sent.get() < 20) return 2;
        return streams.share() < bookings.share() / 4 ? 1 : 0;
    }

    private void freeze(int i) throws Exception {
        String address = fleet.clientAddresses.get(i);
        if (TROUBLE) {
            record.line("freeze   node=" + (i + 1));
            signal("STOP", i);
            frozen.add(address);
        }
        Thread.sleep(FREEZE_MS);
        if (TROUBLE) {
            signal("CONT", i);
            frozen.remove(address);
            record.line("thaw     node=" + (i + 1));
        }
        Thread.sleep(BETWEEN_MS);
    }

    private void signal(String name, int i) throws IOException, InterruptedException {
        String pid = Long.toString(fleet.processes.get(i).pid());
        new ProcessBuilder("kill", "-" + name, pid).start().waitFor(2, TimeUnit.SECONDS);
    }

    /** Keeps a channel to a node for many streams, and asks another node once if one isn't read. */
    private void sendStreams() {
        Client client = null;
        while (!ended) {
            pause((long) (-Math.log(1 - random()) * THINK_MS));
            if (client == null) client = connect(null);
            boolean counts = steady;
            int status = send(client);
            if (status <= 0) {
                client.close();
                client = connect(client.address);
                status = send(client);
            }
            if (counts && !ended) {
                streams.sent.incrementAndGet();
                if (status == 200) streams.served.incrementAndGet();
            }
            if (status <= 0) {
                client.close();
                client = null;
            }
        }
        if (client != null) client.close();
    }

    private int send(Client client) {
        String attempt = Client.newAttempt();
        record.line("stream   " + attempt + " node=" + client.address);
        client.headPatienceMs = frozen.contains(client.address) ? UNREAD_MS : STREAM_BUDGET_MS;
        int status = client.stream("/pufi791/2f", attempt, Http.bytes("words ".repeat(700)));
        record.line("answer   " + attempt + " status=" + status);
        return status;
    }

    /** Chooses one of the addresses that a node's directory lists, except the one that has just failed. */
    private Client connect(String failed) {
        List<String> listed = new ArrayList<>();
        for (int i = 0; i < NODES && listed.isEmpty(); i++) {
            if (frozen.contains(fleet.clientAddresses.get(i))) continue;
            String answer = Fleet.get(fleet.directoryAddresses.get(i), "/resolve?name=" + Fleet.HOST + "&region=gt-central&zone=" + Fleet.zone(i));
            for (String address : fleet.clientAddresses) {
                if (answer != null && answer.contains('"' + address + '"') && !address.equals(failed)) listed.add(address);
            }
        }
        if (listed.isEmpty()) listed.addAll(fleet.clientAddresses);
        return new Client(listed.get((int) (random() * listed.size())), STREAM_BUDGET_MS);
    }

    private void sendBookings(String address) {
        Client client = new Client(address, BOOKING_BUDGET_MS);
        while (!ended) {
            pause(300);
            String attempt = Client.newAttempt();
            boolean counts = steady;
            int status = client.exchange("POST", "/puxa403/2f", attempt, Http.bytes("seat=12A".repeat(75)));
            record.line("booking  " + attempt + " status=" + status);
            if (counts && !ended) {
                bookings.sent.incrementAndGet();
                if (status == 200) bookings.served.incrementAndGet();
            }
        }
        client.close();
    }

    private static double random() {
        synchronized (RANDOM) {
            return RANDOM.nextDouble();
        }
    }

    private static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
