import java.io.IOException;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/** Stands in for a sound replica of a model, which answers with a stream of events. */
class StreamReplica extends Replica {
    private static final int EVENTS = 6;
    private static final long FIRST_EVENT_MS = 60;
    private static final long EVENT_MS = 20;

    StreamReplica(Fleet fleet, String id, String service, int zone, Map<String, AtomicInteger> runs) throws IOException {
        super(fleet, id, service, zone, 64, 134, 0, runs);
    }

    @Override
    void work(String attempt, Http.Head head, Channel channel) throws IOException, InterruptedException {
        String last = head.field("Last-Event-Id");
        Thread.sleep(FIRST_EVENT_MS);
        channel.out.write(streamHead(attempt));
        for (int event = last == null ? 1 : Integer.parseInt(last) + 1; event <= EVENTS; event++) {
            channel.out.write(chunk("id: " + event + "\ndata: " + "word ".repeat(4) + "\n\n"));
            Thread.sleep(EVENT_MS);
        }
        channel.out.write(Http.bytes("0\r\n\r\n"));
    }

    final byte[] streamHead(String attempt) {
        return Http.bytes("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Attempt-Id: " + attempt
            + "\r\nX-Response-Signature: 3e1b.07." + id + ".c9f2a4d1\r\nTransfer-Encoding: chunked\r\n\r\n");
    }

    static byte[] chunk(String text) {
        return Http.bytes(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
    }
}
