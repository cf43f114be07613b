import java.io.IOException;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Four nodes of an old build are replaced one after the other by nodes of a new one. In the middle the holder of the lease is
 * killed, until one of each build has been. The usage of each window must be reported in time, with fencing tokens that
 * rise, and calls of clients must go on as if there were one build.
 */
final class Upgrade {
    static final int USAGE_WINDOW_S = 5;
    static final int USAGE_LATE_S = 10;
    private static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));
    private static final int NEW_NODES = Integer.parseInt(System.getenv().getOrDefault("NEW_NODES", "2"));
    private static final int NODES = 4;
    private static final int REPLICAS = 3;
    private static final int BOOKING_CLIENTS = 6;
    private static final int STREAM_CLIENTS = 4;
    private static final int ATTEMPTS = 3;
    private static final int BOOKING_BUDGET_MS = 1_500;
    private static final long READY_MS = 30_000;
    private static final long CONTACT_MS = 3_000;
    private static final long SETTLE_MS = 4_000;

    /** How long a machine whose holder was killed stays away: longer than a take-over, and than a report may be late. */
    private static final long AWAY_MS = 14_000;

    /** How long it stays away if the kill is only to bring the lease to a node of the other build. */
    private static final long SHORT_AWAY_MS = 6_000;
    private static final int MAX_KILLS = 10;

    /** Some windows of usage, and the time that the last report may be late. */
    private static final long END_MS = 15_000;

    /** A stream that is taken up elsewhere goes on after this time. */
    private static final long TAKE_UP_PAUSE_MS = 300;
    private static final String SERVICE = "wuno96b";
    private static final String MODEL = "huvo11a";
    private static final String[] VERSIONS = {"v1", "v2"};

    private final Fleet fleet;
    private final Record record;
    private final DutyCloud cloud;
    private final Machines machines;
    private final Path old;
    private final Path replacement;
    private final Map<String, AtomicInteger> runs = Replica.noRuns();
    private final Count bookings = new Count();
    private final Count streams = new Count();
    private final Count takeUps = new Count();
    private final AtomicInteger mixed = new AtomicInteger();
    private final List<String> unexplained = new CopyOnWriteArrayList<>();
    private volatile boolean ended;

    private Upgrade(Fleet fleet, Record record, Path old, Path replacement) throws IOException {
        this.fleet = fleet;
        this.record = record;
        this.old = old;
        this.replacement = replacement;
        cloud = new DutyCloud(fleet.nextHost(), 8225, record);
        cloud.start();
        machines = new Machines(fleet, cloud, NODES);
    }

    /** Calls of one kind; those that failed beside a kill of a node that they touched are excused. */
    private static final class Count {
        final AtomicInteger sent = new AtomicInteger();
        final AtomicInteger served = new AtomicInteger();
        final AtomicInteger excused = new AtomicInteger();

        double share() {
            int judged = sent.get() - excused.get();
            return judged == 0 ? 0 : (double) served.get() / judged;
        }

        @Override
        public String toString() {
            return String.format("sent=%d served=%d excused_by_a_kill=%d", sent.get(), served.get(), excused.get());
        }
    }

    public static void main(String[] args) throws Exception {
        Record record = new Record(Path.of(args[2]));
        int exitCode;
        try (Fleet fleet = new Fleet(Path.of(args[0]), record)) {
            exitCode = new Upgrade(fleet, record, Path.of(args[0]).toAbsolutePath(), Path.of(args[1]).toAbsolutePath()).play();
        }
        record.close();
        System.exit(exitCode);
    }

    private int play() throws Exception {
        fleet.configure(7,
            Fleet.route("/puxa403/", "idempotent", 1_500, 121, SERVICE, 2, false) + ","
                + Fleet.route("/pufi791/", "streaming", 3_000, 600, MODEL, 2, true),
            Fleet.service(SERVICE, 110) + "," + Fleet.service(MODEL, 370));
        for (int i = 0; i < REPLICAS; i++) new Replica(fleet, "i-" + (i + 1), SERVICE, i, 12, 24, 12, runs).register();
        for (int i = 0; i < 4; i++) new VersionReplica(fleet, "m-" + (i + 1), MODEL, i, VERSIONS[i % VERSIONS.length], runs).register();
        for (Machines.Machine machine : machines.all) machines.start(machine, old);
        for (Machines.Machine machine : machines.all) {
            if (!machines.awaitReady(machine, READY_MS)) return failToPlay("the nodes did not get ready");
        }
        Thread.sleep(SETTLE_MS);
        long firstWindow = windowNow() + 1;
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < BOOKING_CLIENTS; i++) clients.add(new Thread(this::sendBookings));
        for (int i = 0; i < STREAM_CLIENTS; i++) clients.add(new Thread(this::sendStreams));
        for (Thread client : clients) client.start();
        Thread.sleep(2_000L * USAGE_WINDOW_S);
        for (int i = 0; i < NODES; i++) {
            if (i == NEW_NODES && TROUBLE && !killHolders()) return failToPlay("the lease did not come to a node of each build");
            if (!replace(oldMachineToReplace())) return failToPlay("a node of the new build did not get ready");
        }
        Thread.sleep(END_MS);
        long lastWindow = windowNow() - 1 - USAGE_LATE_S / USAGE_WINDOW_S;
        ended = true;
        for (Thread client : clients) client.join();
        return verdict(firstWindow, lastWindow);
    }

    private static int failToPlay(String reason) {
        System.out.println(reason);
        return 2;
    }

    private static long windowNow() {
        return System.currentTimeMillis() / 1_000 / USAGE_WINDOW_S;
    }

    private boolean isNew(Machines.Machine machine) {
        return machine.build.equals(replacement);
    }

    private String buildOf(Machines.Machine machine) {
        return isNew(machine) ? "new" : "old";
    }

    /** Returns a machine with the old build that does not hold the lease, if there is one. */
    private Machines.Machine oldMachineToReplace() {
        Machines.Machine holder = holderOrNull();
        Machines.Machine chosen = null;
        for (Machines.Machine machine : machines.all) {
            if (!isNew(machine) && (chosen == null || chosen == holder)) chosen = machine;
        }
        return chosen;
    }

    private boolean replace(Machines.Machine machine) throws IOException, InterruptedException {
        record.line("stop     " + machine.node + " holder=" + (machine == holderOrNull()));
        machines.stop(machine);
        return start(machine, replacement);
    }

    private boolean start(Machines.Machine machine, Path build) throws IOException, InterruptedException {
        machines.start(machine, build);
        record.line("start    " + machine.node + " build=" + buildOf(machine));
        if (!machines.awaitReady(machine, READY_MS)) return false;
        record.line("ready    " + machine.node);
        Thread.sleep(SETTLE_MS);
        return true;
    }

    /** Kills the holder of the lease, until one of each build was killed; returns false if one build never held it. */
    private boolean killHolders() throws IOException, InterruptedException {
        boolean oldKilled = false;
        boolean newKilled = false;
        for (int kills = 0; kills < MAX_KILLS && !(oldKilled && newKilled); kills++) {
            Machines.Machine holder = awaitHolder();
            if (holder == null) {
                System.out.println("no node that runs holds the lease");
                return false;
            }
            boolean isFirst = isNew(holder) ? !newKilled : !oldKilled;
            record.line("kill     " + holder.node + " build=" + buildOf(holder) + " token=" + tokenOrNull());
            machines.kill(holder, record.now());
            Thread.sleep(isFirst ? AWAY_MS : SHORT_AWAY_MS);
            Machines.Machine next = holderOrNull();
            System.out.printf("killed holder=%s build=%s, after %d ms the lease row names %s%n", holder.node, buildOf(holder),
                isFirst ? AWAY_MS : SHORT_AWAY_MS, next == null || next == holder ? "no other node" : next.node + " build=" + buildOf(next));
            if (isNew(holder)) newKilled = true;
            else oldKilled = true;
            if (!start(holder, holder.build)) return false;
        }
        return oldKilled && newKilled;
    }

    /** Waits until a node that runs holds the lease, and returns its machine, or null if none does in time. */
    private Machines.Machine awaitHolder() throws InterruptedException {
        for (int i = 0; i < 200; i++) {
            Machines.Machine holder = holderOrNull();
            if (holder != null && !holder.away) return holder;
            Thread.sleep(100);
        }
        return null;
    }

    /** Returns the machine that the row of the lease names, or null if there is none. */
    private Machines.Machine holderOrNull() {
        Map<String, Object> lease = leaseOrNull();
        for (Machines.Machine machine : machines.all) if (lease != null && machine.node.equals(lease.get("holder"))) return machine;
        return null;
    }

    private Object tokenOrNull() {
        Map<String, Object> lease = leaseOrNull();
        return lease == null ? null : lease.get("fence");
    }

    @SuppressWarnings("unchecked")
    private Map<String, Object> leaseOrNull() {
        String key = URLEncoder.encode("lease", StandardCharsets.UTF_8);
        String page = Fleet.get(fleet.store.address, "/rows-get?tableName=fleet&part=&source=" + key + "&maxItems=1");
        if (page == null) return null;
        List<Map<String, Object>> rows = (List<Map<String, Object>>) ((Map<String, Object>) Json.parse(page)).get("rows");
        if (rows.isEmpty() || !"lease".equals(rows.get(0).get("key"))) return null;
        String value = new String(Base64.getDecoder().decode((String) rows.get(0).get("value")), StandardCharsets.UTF_8);
        return (Map<String, Object>) Json.parse(value);
    }

    /** Returns a machine that clients may use, other than {@code avoided} if there is one. */
    private Machines.Machine choose(Random random, Machines.Machine avoided) {
        List<Machines.Machine> usable = new ArrayList<>();
        for (Machines.Machine machine : machines.all) if (!machine.away && machine != avoided) usable.add(machine);
        return usable.isEmpty() ? machines.all.get(0) : usable.get(random.nextInt(usable.size()));
    }

    private void sendBookings() {
        Random random = new Random();
        byte[] body = Http.bytes("seat=12A".repeat(20));
        while (!ended) {
            bookings.sent.incrementAndGet();
            double start = record.now();
            boolean killed = false;
            StringBuilder course = new StringBuilder();
            boolean served = false;
            Machines.Machine last = null;
            for (int i = 0; i < ATTEMPTS && !served; i++) {
                if (i > 0) sleep(100);
                last = choose(random, last);
                Client client = new Client(last.front(), BOOKING_BUDGET_MS);
                int status = client.exchange("POST", "/puxa403/2f", Client.newAttempt(), body);
                client.close();
                served = status == 200;
                killed |= wasKilled(last, start);
                course.append(' ').append(last.node).append('(').append(buildOf(last)).append(")=").append(status);
            }
            judge(bookings, served, killed, "booking", start, course.toString());
            sleep(20 + random.nextInt(60));
        }
    }

    /** Whether the machine was killed so shortly before {@code start}, or since, that nodes may not know it yet. */
    private boolean wasKilled(Machines.Machine machine, double start) {
        return machine.killedAt > start - CONTACT_MS;
    }

    private boolean wasAnyKilled(double start) {
        for (Machines.Machine machine : machines.all) if (wasKilled(machine, start)) return true;
        return false;
    }

    private void judge(Count count, boolean served, boolean killed, String kind, double start, String course) {
        if (served) {
            count.served.incrementAndGet();
        } else if (killed) {
            count.excused.incrementAndGet();
        } else {
            unexplained.add(String.format("%s at_ms=%.0f%s", kind, start, course));
        }
        if (!served) record.line("fail     " + kind + " killed=" + killed + course);
    }

    /** Each client starts streams, leaves half of them in the middle and takes these up at another node. */
    private void sendStreams() {
        Random random = new Random();
        while (!ended) {
            Machines.Machine first = choose(random, null);
            boolean leaves = random.nextBoolean();
            String attempt = Client.newAttempt();
            double start = record.now();
            streams.sent.incrementAndGet();
            StreamCall begun = new StreamCall(first.front(), "/pufi791/2f", attempt, null, 0, leaves ? 3 : Integer.MAX_VALUE);
            boolean went = leaves ? begun.lastEvent == 3 : begun.complete;
            judge(streams, went, wasKilled(first, start), "stream", start,
                " " + first.node + "(" + buildOf(first) + ")=" + begun.status + " events=" + begun.lastEvent);
            if (begun.versions.size() > 1) mixed.incrementAndGet();
            if (leaves && went) takeUp(random, first, attempt, begun, start);
            sleep(50 + random.nextInt(100));
        }
    }

    private void takeUp(Random random, Machines.Machine first, String attempt, StreamCall begun, double start) {
        sleep(TAKE_UP_PAUSE_MS);
        takeUps.sent.incrementAndGet();
        StringBuilder course = new StringBuilder(" began=" + first.node + "(" + buildOf(first) + ")");
        Machines.Machine last = first;
        StreamCall call = null;
        for (int i = 0; i < 2 && (call == null || call.status != 200); i++) {
            if (call != null) sleep(call.retryAfter == null ? 100 : (long) (1_000 * Double.parseDouble(call.retryAfter)));
            last = choose(random, last);
            call = new StreamCall(last.front(), "/pufi791/2f", Client.newAttempt(), attempt, begun.lastEvent, Integer.MAX_VALUE);
            course.append(' ').append(last.node).append('(').append(buildOf(last)).append(")=").append(call.status);
        }
        judge(takeUps, call.complete, wasAnyKilled(start), "take-up", start, course + " events=" + call.lastEvent);
        if (call.versions.isEmpty() || call.versions.equals(begun.versions)) return;
        mixed.incrementAndGet();
        record.line("mixed    " + attempt + " began=" + begun.versions + " went_on=" + call.versions + course);
    }

    private int verdict(long firstWindow, long lastWindow) {
        int late = 0;
        List<DutyCloud.Report> reports = cloud.reports();
        for (long window = firstWindow; window <= lastWindow; window++) {
            long endMs = (window + 1) * USAGE_WINDOW_S * 1_000;
            DutyCloud.Report first = null;
            for (DutyCloud.Report report : reports) if (first == null && report.accepted && report.window == window) first = report;
            boolean inTime = first != null && first.receivedAt <= endMs + USAGE_LATE_S * 1_000;
            if (!inTime) late++;
            System.out.println("window=" + window + (first == null ? " MISSING"
                : " after_its_end_ms=" + (first.receivedAt - endMs) + " holder=" + first.holder + " token=" + first.token
                    + " counts=" + first.counts + (inTime ? "" : " LATE")));
        }
        List<String> faults = cloud.faults();
        faults.forEach(System.out::println);
        unexplained.stream().limit(20).forEach(fail -> System.out.println("failed: " + fail));
        long refused = reports.stream().filter(report -> !report.accepted).count();
        System.out.printf("bookings %s%nstreams %s%ntake-ups %s%n", bookings, streams, takeUps);
        System.out.printf("windows=%d late_or_missing=%d faults_of_reports=%d reports_refused=%d failed_without_a_kill=%d streams_of_two_versions=%d%n",
            lastWindow - firstWindow + 1, late, faults.size(), refused, unexplained.size(), mixed.get());
        if (bookings.served.get() < 1_000 || takeUps.sent.get() < 100) return 2;
        boolean held = late == 0 && faults.isEmpty() && unexplained.isEmpty() && mixed.get() == 0 && takeUps.share() >= streams.share() / 2;
        return held ? 0 : 1;
    }

    private static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
