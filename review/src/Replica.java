import java.io.IOException;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Stands in for a sound replica of a plain service: it works on a few requests at once, lets a few more wait, rejects the
 * others with 503 and `X-Not-Executed`, and echoes `X-Attempt-Id` in every answer.
 */
class Replica extends Server {
    final String id;
    final Record record;
    private final Store store;
    private final String service;
    private final String zone;
    private final int slots;
    private final int queue;
    private final long workMs;
    private final Semaphore working;
    private final AtomicInteger present = new AtomicInteger();
    private final long born = System.currentTimeMillis();
    private long sequence;
    private final Random random = new Random(7);

    /** How often each request has run, on all replicas. */
    final Map<String, AtomicInteger> runs;

    Replica(
        Fleet fleet, String id, String service, int zone, int slots, int queue, long workMs,
        Map<String, AtomicInteger> runs
    ) throws IOException {
        super(fleet.nextHost(), 8225);
        this.id = id;
        this.record = fleet.record;
        this.store = fleet.store;
        this.service = service;
        this.zone = Fleet.zone(zone);
        this.slots = slots;
        this.queue = queue;
        this.workMs = workMs;
        this.working = new Semaphore(slots, true);
        this.runs = runs;
    }

    static Map<String, AtomicInteger> noRuns() {
        return new ConcurrentHashMap<>();
    }

    /** Serves requests and enters itself in the store, where an entry changes when more than its sequence changes. */
    void register() {
        start();
        enter("ready");
    }

    /** Writes that the replica is about to leave; it goes on serving. Returns when the store has accepted that. */
    final void drain() {
        enter("draining");
    }

    /** Leaves the list without a word before; it goes on serving. Returns when the store has removed the entry. */
    final void leave() {
        store.remove("servers", id);
    }

    private void enter(String state) {
        sequence++;
        store.put("servers", id,
            "{\"service\":\"" + service + "\",\"address\":\"" + address + "\",\"zone\":\"" + zone
                + "\",\"version\":\"v1\",\"batchSlots\":" + slots + ",\"state\":\"" + state
                + "\",\"coldRemainingMs\":0,\"sequence\":" + sequence + ",\"born\":" + born + "}");
    }

    @Override
    boolean handle(Http.Head head, byte[] body, Channel channel) throws IOException, InterruptedException {
        if (head.target().equals("/health")) {
            channel.out.write(message("200 OK", "X-Instance-Id: " + id + "\r\n", new byte[0]));
            return true;
        }
        String attempt = head.field("X-Attempt-Id");
        String echo = "X-Attempt-Id: " + attempt + "\r\n";
        String expected = head.field("X-Expect-Instance");
        if (attempt == null) {
            channel.out.write(message("400 Bad Request", "X-Not-Executed: 1\r\n", new byte[0]));
        } else if (expected != null && !expected.equals(id)) {
            channel.out.write(message("421 Misdirected Request", echo + "X-Instance-Id: " + id + "\r\n", new byte[0]));
        } else {
            answer(attempt, head, channel);
        }
        return true;
    }

    /** Runs the request and answers it, or rejects it if the replica is full. */
    void answer(String attempt, Http.Head head, Channel channel) throws IOException, InterruptedException {
        if (present.incrementAndGet() > slots + queue) {
            present.decrementAndGet();
            record.line("reject   " + attempt + " replica=" + id);
            send(channel, rejection(attempt));
            return;
        }
        try {
            working.acquire();
            try {
                startRun(attempt);
                work(attempt, head, channel);
            } finally {
                working.release();
            }
        } finally {
            present.decrementAndGet();
        }
    }

    final void startRun(String attempt) {
        int count = runs.computeIfAbsent(attempt, key -> new AtomicInteger()).incrementAndGet();
        record.line("run      " + attempt + " replica=" + id + (count > 1 ? " AGAIN" : ""));
    }

    /** Works on a request and answers it. */
    void work(String attempt, Http.Head head, Channel channel) throws IOException, InterruptedException {
        double share;
        synchronized (random) {
            share = Math.exp(0.5 * random.nextGaussian() - 0.125);
        }
        Thread.sleep((long) (workMs * share));
        send(channel, success(attempt));
    }

    void send(Channel channel, byte[] answer) throws IOException {
        channel.out.write(answer);
    }

    private static byte[] rejection(String attempt) {
        return message("503 Service Unavailable", "X-Attempt-Id: " + attempt + "\r\nX-Not-Executed: 1\r\n", new byte[0]);
    }

    private byte[] success(String attempt) {
        byte[] body = Http.bytes("booked by " + id + " for " + attempt + "\n" + "-".repeat(740));
        String fields = "X-Attempt-Id: " + attempt + "\r\nX-Response-Signature: 3e1b.07." + id + ".c9f2a4d1\r\n";
        return message("200 OK", fields, body);
    }
}
