import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;

/**
 * Stands for the path between one machine and the store. While it is cut, bytes of both directions are held. After the cut they
 * pass when TCP would send them again: 0.2, 0.6, 1.4, 3.0 or 6.2 s after they were sent first.
 */
final class CutProxy {
    private static final long FIRST_RETRANSMIT_MS = 200;

    final String address;
    private final ServerSocket listener;
    private final String target;
    private boolean cut;
    private long healedAt;

    CutProxy(String host, int port, String target) throws IOException {
        listener = new ServerSocket(port, 256, InetAddress.getByName(host));
        address = host + ":" + port;
        this.target = target;
        Server.daemon(this::accept);
    }

    synchronized void cut() {
        cut = true;
    }

    synchronized void heal() {
        cut = false;
        healedAt = System.nanoTime();
        notifyAll();
    }

    private void accept() {
        while (true) {
            try {
                Socket near = listener.accept();
                Socket far = new Socket(target.split(":")[0], Integer.parseInt(target.split(":")[1]));
                near.setTcpNoDelay(true);
                far.setTcpNoDelay(true);
                Server.daemon(() -> pump(near, far));
                Server.daemon(() -> pump(far, near));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void pump(Socket from, Socket to) {
        byte[] buffer = new byte[65_536];
        try (from; to) {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            while (true) {
                int n = in.read(buffer);
                awaitPassage();
                if (n < 0) return;
                out.write(buffer, 0, n);
            }
        } catch (IOException e) {
            // One end has closed the channel.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void awaitPassage() throws InterruptedException {
        long sentAt = System.nanoTime();
        synchronized (this) {
            if (!cut) return;
            while (cut) wait();
        }
        long outageMs = (healedAt - sentAt) / 1_000_000;
        long retransmitMs = FIRST_RETRANSMIT_MS;
        for (long pauseMs = 2 * FIRST_RETRANSMIT_MS; retransmitMs < outageMs; pauseMs *= 2) retransmitMs += pauseMs;
        Thread.sleep(Math.max(0, retransmitMs - (System.nanoTime() - sentAt) / 1_000_000));
    }
}
