import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.Random;

/** Stands in for one client, which keeps its channel to a node for many requests. */
final class Client {
    /** The gap between two events after which a client gives a stream up: eight times the sheet's pause of 600 ms. */
    private static final long MAX_GAP_MS = 4_800;

    private static final Random RANDOM = new Random();

    final String address;
    private final int patienceMs;
    private Socket socket;
    private InputStream in;

    /** The head of the last answer. */
    Http.Head answer;

    /** How long the client waits for the head of an answer; at most its time budget. */
    int headPatienceMs;

    Client(String address, int patienceMs) {
        this.address = address;
        this.patienceMs = patienceMs;
        this.headPatienceMs = patienceMs;
    }

    static String newAttempt() {
        synchronized (RANDOM) {
            return String.format("%016x", RANDOM.nextLong());
        }
    }

    /** Sends a request and returns the status of its answer, 0 if the channel closed, or -1 if none came in time. */
    int exchange(String method, String path, String attempt, byte[] body) {
        try {
            String length = body.length > 0 || method.equals("POST") ? "Content-Length: " + body.length + "\r\n" : "";
            send(method + " " + path, attempt, length, body);
            answer = Http.readHead(in);
            if (answer == null) return ended(0);
            Http.readBody(answer, in);
            if ("close".equalsIgnoreCase(answer.field("Connection"))) close();
            return answer.status();
        } catch (java.net.SocketTimeoutException e) {
            return ended(-1);
        } catch (IOException e) {
            return ended(0);
        }
    }

    /**
     * Sends a request for a stream and returns the status of its answer, 0 if the channel closed early, or -1 if the answer
     * is not complete within the time budget.
     */
    int stream(String path, String attempt, byte[] body) {
        long end = System.nanoTime() + patienceMs * 1_000_000L;
        try {
            String fields = "X-Model: m\r\nX-Token-Counts: 740,24\r\nX-Prompt-Prefix: " + attempt.substring(0, 2) + ":568," + attempt + ":172\r\n";
            send("POST " + path, attempt, fields + "Content-Length: " + body.length + "\r\n", body);
            answer = Http.readHead(in);
            if (answer == null) return ended(0);
            socket.setSoTimeout(patienceMs);
            boolean chunked = "chunked".equalsIgnoreCase(answer.field("Transfer-Encoding"));
            if (!chunked) Http.readBody(answer, in);
            long lastEvent = System.nanoTime();
            while (chunked) {
                byte[] chunk = Http.readChunk(in);
                if (chunk.length == 0) break;
                long now = System.nanoTime();
                if (new String(chunk, 0, Math.min(chunk.length, 64)).contains("data:")) lastEvent = now;
                if (now > end || now - lastEvent > MAX_GAP_MS * 1_000_000) return ended(-1);
            }
            if ("close".equalsIgnoreCase(answer.field("Connection"))) close();
            return answer.status();
        } catch (java.net.SocketTimeoutException e) {
            return ended(-1);
        } catch (IOException e) {
            return ended(0);
        }
    }

    private void send(String line, String attempt, String fields, byte[] body) throws IOException {
        if (socket == null) {
            socket = new Socket();
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress(address.split(":")[0], Integer.parseInt(address.split(":")[1])), 1_000);
            in = Http.buffered(socket.getInputStream());
        }
        socket.setSoTimeout(headPatienceMs);
        byte[] head = Http.bytes(line + " HTTP/1.1\r\nHost: " + Fleet.HOST + "\r\nX-Attempt-Id: " + attempt
            + "\r\nX-Deadline-Ms: " + patienceMs + "\r\nApi-Key: " + Fleet.KEY + "\r\n" + fields + "\r\n");
        byte[] request = new byte[head.length + body.length];
        System.arraycopy(head, 0, request, 0, head.length);
        System.arraycopy(body, 0, request, head.length, body.length);
        socket.getOutputStream().write(request);
    }

    private int ended(int status) {
        close();
        return status;
    }

    void close() {
        try {
            if (socket != null) socket.close();
        } catch (IOException e) {
            // It is closed.
        }
        socket = null;
    }
}
