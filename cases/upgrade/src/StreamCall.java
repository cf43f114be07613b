import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.TreeSet;

/** One call of a client for a stream, on a channel of its own; the client may leave in the middle and take the stream up later. */
final class StreamCall {
    private static final int PATIENCE_MS = 3_000;

    /** The status of the answer, 0 if the channel closed before it, or -1 if none came in time. */
    int status;
    int lastEvent;
    final TreeSet<String> versions = new TreeSet<>();
    boolean complete;
    String retryAfter;

    /**
     * Calls for a stream, or takes it up after {@code lastEvent} if that isn't 0, and leaves after event {@code leaveAfter}.
     *
     * @param resumes the client attempt that brought the first event, if the stream is taken up
     */
    StreamCall(String address, String path, String attempt, String resumes, int lastEvent, int leaveAfter) {
        this.lastEvent = lastEvent;
        try (Socket socket = new Socket()) {
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress(address.split(":")[0], Integer.parseInt(address.split(":")[1])), 1_000);
            socket.setSoTimeout(PATIENCE_MS);
            byte[] body = Http.bytes("prompt".repeat(50));
            String takeUp = resumes == null ? "" : "Resumes: " + resumes + "\r\nLast-Event-Id: " + lastEvent + "\r\n";
            socket.getOutputStream().write(Http.bytes("POST " + path + " HTTP/1.1\r\nHost: " + Fleet.HOST + "\r\nX-Attempt-Id: " + attempt
                + "\r\nX-Deadline-Ms: " + PATIENCE_MS + "\r\nApi-Key: " + Fleet.KEY + "\r\n" + takeUp
                + "X-Model: m\r\nX-Token-Counts: 740,24\r\nX-Prompt-Prefix: " + attempt.substring(0, 2) + ":568," + attempt
                + ":172\r\nContent-Length: " + body.length + "\r\n\r\n"));
            socket.getOutputStream().write(body);
            read(Http.buffered(socket.getInputStream()), leaveAfter);
        } catch (java.net.SocketTimeoutException e) {
            if (status == 0) status = -1;
        } catch (IOException e) {
            // The channel closed; what was read before counts.
        }
    }

    private void read(InputStream in, int leaveAfter) throws IOException {
        Http.Head head = Http.readHead(in);
        if (head == null) return;
        status = head.status();
        retryAfter = head.field("Retry-After");
        if (status != 200) return;
        StringBuilder text = new StringBuilder();
        while (lastEvent < leaveAfter) {
            byte[] chunk = Http.readChunk(in);
            if (chunk.length == 0) {
                complete = lastEvent == VersionReplica.EVENTS;
                return;
            }
            text.append(new String(chunk));
            for (int end = text.indexOf("\n\n"); end >= 0; end = text.indexOf("\n\n")) {
                readEvent(text.substring(0, end));
                text.delete(0, end + 2);
            }
        }
    }

    private void readEvent(String event) throws IOException {
        for (String line : event.split("\n")) {
            if (line.startsWith("id: ")) {
                int id = Integer.parseInt(line.substring(4).trim());
                if (id != lastEvent + 1) throw new IOException("event " + id + " after " + lastEvent);
                lastEvent = id;
            }
            if (line.startsWith("data: ")) versions.add(line.substring(6).trim());
        }
    }
}
