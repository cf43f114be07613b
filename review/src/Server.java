import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;

/** Accepts channels on one loopback address and serves each on a thread of its own. */
abstract class Server {
    private final ServerSocket listener;
    final String address;

    Server(String host, int port) throws IOException {
        listener = new ServerSocket(port, 512, InetAddress.getByName(host));
        address = host + ":" + listener.getLocalPort();
    }

    void start() {
        daemon(() -> {
            while (true) {
                Socket socket;
                try {
                    socket = listener.accept();
                    socket.setTcpNoDelay(true);
                } catch (IOException e) {
                    return;
                }
                daemon(() -> serve(socket));
            }
        });
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = Http.buffered(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            Channel channel = new Channel(socket, in, out);
            while (true) {
                Http.Head head = Http.readHead(in);
                if (head == null) return;
                if (!handle(head, Http.readBody(head, in), channel)) return;
            }
        } catch (IOException e) {
            // The peer closed the channel.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Answers one request and returns whether the channel may carry another. */
    abstract boolean handle(Http.Head head, byte[] body, Channel channel) throws IOException, InterruptedException;

    /** One channel of a server; {@link #note} belongs to the server. */
    static final class Channel {
        final Socket socket;
        final InputStream in;
        final OutputStream out;
        byte[] note;

        Channel(Socket socket, InputStream in, OutputStream out) {
            this.socket = socket;
            this.in = in;
            this.out = out;
        }
    }

    static byte[] message(String statusLine, String fields, byte[] body) {
        byte[] head = Http.bytes("HTTP/1.1 " + statusLine + "\r\n" + fields + "Content-Length: " + body.length + "\r\n\r\n");
        byte[] all = new byte[head.length + body.length];
        System.arraycopy(head, 0, all, 0, head.length);
        System.arraycopy(body, 0, all, head.length, body.length);
        return all;
    }

    static void daemon(Runnable job) {
        Thread thread = new Thread(null, job, "stand-in", 256 * 1024);
        thread.setDaemon(true);
        thread.start();
    }
}
