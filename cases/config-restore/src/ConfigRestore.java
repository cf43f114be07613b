import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The store comes back from a copy some seconds old; the operator writes its newest configuration again, and the next one, which
 * adds a route, follows at once. From `configApplyMs` after its ack no node may answer 404 on that route.
 */
final class ConfigRestore {
    private static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));
    private static final int NODES = 4;
    private static final int REPLICAS = 3;

    /** The entries of replicas of a service without a route, which are written between the copy and the loss, and again after it. */
    private static final int ENTRIES = 60;
    private static final long APPLY_MS = 2_000;
    private static final long CONTACT_MS = 3_000;
    private static final long COPY_AGE_MS = 1_400;
    private static final long AWAY_MS = 1_500;
    private static final long WATCH_MS = 6_000;
    private static final long SETTLE_MS = 4_000;
    private static final long PROBE_MS = 40;
    private static final String SERVICE = "wuno96b";
    private static final String OTHER_SERVICE = "huvo11a";

    /** What happens around one return of the store. */
    private static final class Round {
        final String name;
        final boolean silent;

        /** How long the entries are written after the operator's changes. */
        final long entriesAfterMs;
        final List<Integer> paused;
        final int restarted;

        Round(String name, boolean silent, long entriesAfterMs, List<Integer> paused, int restarted) {
            this.name = name;
            this.silent = silent;
            this.entriesAfterMs = entriesAfterMs;
            this.paused = paused;
            this.restarted = restarted;
        }
    }

    private static final int NONE = -1;
    private static final List<Round> ROUNDS = List.of(
        new Round("calls hang", true, 0, List.of(), NONE),
        new Round("channels are closed", false, 0, List.of(), NONE),
        new Round("one node stands still", true, 0, List.of(1), NONE),
        new Round("one node is killed and started", true, 0, List.of(), 2),
        new Round("the entries come late, two nodes stand still", false, 1_200, List.of(0, 3), NONE));

    private static final class Route {
        final String prefix;
        final int round;
        final double ackedAt;

        Route(String prefix, int round, double ackedAt) {
            this.prefix = prefix;
            this.round = round;
            this.ackedAt = ackedAt;
        }
    }

    /** The 404s of one node on one route that came too late. */
    private static final class Spell {
        final int node;
        final Route route;
        int count;
        int inTouch;
        double firstMs;
        double lastMs;

        Spell(int node, Route route) {
            this.node = node;
            this.route = route;
        }
    }

    private final Fleet fleet;
    private final Record record;
    private final Random random = new Random();
    private final List<String> prefixes = new ArrayList<>();
    private final List<Route> routes = new CopyOnWriteArrayList<>();
    private final List<Spell> spells = new ArrayList<>();

    /** When each node has been in touch, the store apart, for `contactMs`; without a bound while it isn't. */
    private final List<Double> calmFrom = new CopyOnWriteArrayList<>();
    private final AtomicInteger sent = new AtomicInteger();
    private final AtomicInteger served = new AtomicInteger();
    private volatile double stableFrom;
    private volatile boolean ended;
    private int configVersion = 7;

    private ConfigRestore(Fleet fleet, Record record) {
        this.fleet = fleet;
        this.record = record;
    }

    public static void main(String[] args) throws Exception {
        Record record = new Record(Path.of(args[1]));
        int exitCode;
        try (Fleet fleet = new Fleet(Path.of(args[0]), record)) {
            exitCode = new ConfigRestore(fleet, record).play();
        }
        record.close();
        System.exit(exitCode);
    }

    private int play() throws Exception {
        writeConfig();
        Map<String, AtomicInteger> runs = Replica.noRuns();
        for (int i = 0; i < REPLICAS; i++) new Replica(fleet, "i-" + (i + 1), SERVICE, i, 12, 24, 12, runs).register();
        for (int i = 0; i < NODES; i++) fleet.startNode(i);
        if (!fleet.awaitReady(30_000)) {
            System.out.println("the nodes did not get ready");
            return 2;
        }
        List<Thread> probes = new ArrayList<>();
        for (int i = 0; i < NODES; i++) probes.add(probe(i));
        addRoute(0);
        Thread.sleep(SETTLE_MS);
        for (int i = 0; i < ROUNDS.size(); i++) play(i + 1, ROUNDS.get(i), probes);
        ended = true;
        for (Thread probe : probes) probe.join();
        return verdict();
    }

    private void play(int number, Round round, List<Thread> probes) throws Exception {
        addRoute(number);
        Thread.sleep(500);
        fleet.store.keepCopy();
        record.line("copy     version=" + fleet.store.version());
        writeEntries(COPY_AGE_MS / 2 / ENTRIES);
        addRoute(number);
        Thread.sleep(COPY_AGE_MS / 2);
        for (int node : round.paused) pause(node);
        if (round.restarted != NONE) kill(round.restarted);
        stableFrom = Double.MAX_VALUE;
        fleet.store.leave(round.silent);
        record.line("away     " + round.name);
        Thread.sleep(AWAY_MS / 3);
        if (round.restarted != NONE) start(probes);
        Thread.sleep(AWAY_MS - AWAY_MS / 3);
        long lost = 0;
        if (TROUBLE) lost = fleet.store.restore();
        else fleet.store.comeBack();
        stableFrom = record.now() + CONTACT_MS;
        record.line("return   round=" + number + " lost_versions=" + lost);
        writeConfig();
        addRoute(number);
        Thread.sleep(round.entriesAfterMs);
        writeEntries(0);
        Thread.sleep(500);
        for (int node : round.paused) resume(node);
        Thread.sleep(WATCH_MS - round.entriesAfterMs - 500);
        System.out.printf("round=%d (%s) lost_versions=%d reads_declined_with_410=%d%n", number, round.name, lost, fleet.store.takeDeclinedAsGone());
    }

    /** Writes the newest configuration as it stands. */
    private void writeConfig() {
        StringBuilder all = new StringBuilder(Fleet.route("/puxa403/", "idempotent", 1_500, 121, SERVICE, 2, false));
        for (String prefix : prefixes) all.append(',').append(Fleet.route(prefix, "idempotent", 1_500, 121, SERVICE, 2, false));
        fleet.configure(configVersion, all.toString(), Fleet.service(SERVICE, 110) + "," + Fleet.service(OTHER_SERVICE, 110));
        record.line("config   version=" + configVersion + " store_version=" + fleet.store.version());
    }

    private void addRoute(int round) {
        String prefix = String.format("/pufi%03d/", prefixes.size() + 1);
        prefixes.add(prefix);
        configVersion += 1 + random.nextInt(3);
        writeConfig();
        routes.add(new Route(prefix, round, record.now()));
    }

    private void writeEntries(long pauseMs) throws InterruptedException {
        for (int i = 0; i < ENTRIES; i++) {
            fleet.store.put("servers", "k-" + i,
                "{\"service\":\"" + OTHER_SERVICE + "\",\"address\":\"127.0.0.1:9\",\"zone\":\"" + Fleet.zone(i)
                    + "\",\"version\":\"v1\",\"batchSlots\":6,\"state\":\"ready\",\"coldRemainingMs\":0,\"sequence\":"
                    + fleet.store.version() + ",\"born\":1}");
            if (pauseMs > 0) Thread.sleep(pauseMs);
        }
    }

    private void pause(int node) throws IOException, InterruptedException {
        calmFrom.set(node, Double.MAX_VALUE);
        signal("STOP", node);
        record.line("pause    node=" + (node + 1));
    }

    private void resume(int node) throws IOException, InterruptedException {
        signal("CONT", node);
        calmFrom.set(node, record.now() + CONTACT_MS);
        record.line("resume   node=" + (node + 1));
    }

    private void signal(String name, int node) throws IOException, InterruptedException {
        String pid = Long.toString(fleet.processes.get(node).pid());
        new ProcessBuilder("kill", "-" + name, pid).start().waitFor(2, TimeUnit.SECONDS);
    }

    private void kill(int node) throws InterruptedException {
        calmFrom.set(node, Double.MAX_VALUE);
        fleet.processes.get(node).destroyForcibly().waitFor();
        record.line("kill     node=" + (node + 1));
    }

    /** Starts a node, which counts as in touch from `contactMs` after the first time that it says that it is ready. */
    private void start(List<Thread> probes) throws IOException {
        int node = fleet.processes.size();
        fleet.startNode(node);
        record.line("start    node=" + (node + 1));
        probes.add(probe(node));
    }

    private Thread probe(int node) {
        while (calmFrom.size() <= node) calmFrom.add(Double.MAX_VALUE);
        Thread thread = new Thread(() -> probeUntilEnd(node));
        thread.start();
        return thread;
    }

    private void probeUntilEnd(int node) {
        while (!ended && Fleet.get(fleet.readyAddresses.get(node), "/readiness") == null) sleep(100);
        calmFrom.set(node, record.now() + CONTACT_MS);
        Client client = new Client(fleet.clientAddresses.get(node), 1_500);
        Random choice = new Random(node);
        Process process = fleet.processes.get(node);
        while (!ended && process.isAlive()) {
            int newest = routes.size() - 1;
            int index = newest < 0 || choice.nextBoolean() ? newest : choice.nextInt(newest + 1);
            if (index >= 0) exchange(client, node, routes.get(index));
            sleep(PROBE_MS);
        }
        client.close();
    }

    private void exchange(Client client, int node, Route route) {
        double sentAt = record.now();
        double lateFrom = route.ackedAt + APPLY_MS;
        double inTouchFrom = Math.max(stableFrom, calmFrom.get(node));
        int status = client.exchange("GET", route.prefix + "2f", Client.newAttempt(), new byte[0]);
        sent.incrementAndGet();
        if (status == 200) served.incrementAndGet();
        if (status != 404) return;
        double age = sentAt - route.ackedAt;
        record.line(String.format("404      node=%d route=%s round=%d sent_after_ack_ms=%.0f", node + 1, route.prefix, route.round, age));
        if (sentAt > lateFrom) count(node, route, age, sentAt > inTouchFrom);
    }

    private synchronized void count(int node, Route route, double age, boolean inTouch) {
        Spell spell = null;
        for (Spell known : spells) if (known.node == node && known.route == route) spell = known;
        if (spell == null) {
            spell = new Spell(node, route);
            spell.firstMs = age;
            spells.add(spell);
        }
        spell.count++;
        if (inTouch) spell.inTouch++;
        spell.lastMs = age;
    }

    private synchronized int verdict() {
        int late = 0;
        int lateInTouch = 0;
        for (Spell spell : spells) {
            late += spell.count;
            lateInTouch += spell.inTouch;
            System.out.printf("node=%d route=%s round=%d 404s_too_late=%d at_a_node_in_touch=%d first_ms_after_ack=%.0f last_ms_after_ack=%.0f%n",
                spell.node + 1, spell.route.prefix, spell.route.round, spell.count, spell.inTouch, spell.firstMs, spell.lastMs);
        }
        System.out.printf("sent=%d served=%d 404s_too_late=%d at_a_node_in_touch=%d nodes_and_routes=%d%n",
            sent.get(), served.get(), late, lateInTouch, spells.size());
        if (served.get() < 1_000) return 2;
        return late > 0 ? 1 : 0;
    }

    private static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
