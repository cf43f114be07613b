import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URL;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;

/** A small deployment on loopback addresses: the platform's stand-ins and nodes as processes of their own. */
final class Fleet implements AutoCloseable {
    static final String HOST = "ficu95.example";
    static final String KEY = "i9n73hh2b9wu3fexd9dn";
    static final String TENANT = "hule930";
    private static final String[] ZONES = {"gt-central-a", "gt-central-b", "gt-central-c"};

    final Record record;
    final Store store;
    final Path folder;
    final List<Process> processes = new ArrayList<>();
    final List<String> clientAddresses = new ArrayList<>();
    final List<String> readyAddresses = new ArrayList<>();
    final List<String> directoryAddresses = new ArrayList<>();
    private final Path root;
    private final String network;
    private final Cloud cloud;
    private int hosts;

    Fleet(Path root, Record record) throws IOException {
        this.root = root;
        this.record = record;
        network = freeNetwork();
        folder = Files.createTempDirectory("review");
        store = new Store(nextHost(), 8225);
        store.start();
        cloud = new Cloud(nextHost(), 8225);
        cloud.start();
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    /** Returns the first three numbers of loopback addresses whose fixed ports are free. */
    private static String freeNetwork() throws IOException {
        Random random = new Random();
        for (int i = 0; i < 100; i++) {
            String network = "127." + (20 + random.nextInt(200)) + "." + (1 + random.nextInt(250)) + ".";
            if (isFree(network + "1", 8225) && isFree(network + "11", 7600)) return network;
        }
        throw new IOException("no free loopback addresses");
    }

    private static boolean isFree(String host, int port) {
        try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(host))) {
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    String nextHost() {
        return network + ++hosts;
    }

    static String zone(int i) {
        return ZONES[i % ZONES.length];
    }

    /** Starts a node with the command of the deploy file and settings from the template that it names. */
    void startNode(int i) throws IOException {
        startNode(i, store.address);
    }

    /** Starts a node that reaches the store at {@code storeAddress}, which may be that of a proxy. */
    void startNode(int i, String storeAddress) throws IOException {
        String ip = nextHost();
        Map<String, String> values = new LinkedHashMap<>();
        values.put("node", "edge-" + zone(i) + "-" + (i + 1));
        values.put("zone", zone(i));
        values.put("ip", ip);
        values.put("listenAddrs.front", ip + ":8221");
        values.put("listenAddrs.ready", ip + ":8224");
        values.put("listenAddrs.directory", ip + ":8220");
        values.put("platform.address", storeAddress);
        values.put("cloud.address", cloud.address);
        values.put("bounds.graceS", "8");
        values.put("bounds.leaseMs", "3000");
        values.put("bounds.thawSlackMs", "300");
        values.put("bounds.retryBudgetRatio", "0.2");
        values.put("bounds.budgetExtra", "56");
        values.put("bounds.budgetWindowS", "10");
        values.put("bounds.quotaWindowS", "8");
        values.put("bounds.quotaOvershoot", "0.1");
        values.put("bounds.quotaSlack", "110000");
        values.put("bounds.usageWindowS", "5");
        values.put("bounds.usageLateS", "10");
        values.put("bounds.contactMs", "3000");
        values.put("bounds.drainMs", "2000");
        String deploy = Files.readString(root.resolve("deploy/system.toml"));
        String settings = Files.readString(root.resolve(quoted(deploy, "template")));
        for (Map.Entry<String, String> value : values.entrySet()) {
            settings = settings.replace("{{" + value.getKey() + "}}", value.getValue());
        }
        Path file = folder.resolve("node-" + i + ".yaml");
        Files.writeString(file, settings);
        ProcessBuilder builder = new ProcessBuilder(quoted(deploy, "run").split(" "));
        builder.directory(root.toFile());
        Map<String, String> environment = builder.environment();
        environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        environment.put("GYPSUMCART_CONFIG", file.toString());
        builder.redirectErrorStream(true).redirectOutput(folder.resolve("node-" + i + ".log").toFile());
        processes.add(builder.start());
        clientAddresses.add(ip + ":8221");
        readyAddresses.add(ip + ":8224");
        directoryAddresses.add(ip + ":8220");
    }

    private static String quoted(String toml, String name) throws IOException {
        for (String line : toml.split("\n")) {
            if (line.startsWith(name + " = \"")) return line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
        }
        throw new IOException("the deploy file has no " + name);
    }

    void configure(int version, String routes, String services) {
        store.put("op", "config",
            "{\"version\":" + version + ",\"routes\":[" + routes + "],\"services\":[" + services + "],"
                + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},"
                + "\"tenants\":[{\"name\":\"" + TENANT + "\",\"apiKeys\":[\"" + KEY + "\"],\"priority\":1}]}");
    }

    static String route(String prefix, String type, int timeoutMs, int targetMs, String service, int attempts, boolean resumable) {
        return "{\"name\":\"r" + prefix.replace("/", "") + "\",\"host\":\"" + HOST + "\",\"prefix\":\"" + prefix
            + "\",\"routeType\":\"" + type + "\",\"timeoutMs\":" + timeoutMs + ",\"targetLatencyMs\":" + targetMs
            + ",\"priority\":0,\"service\":\"" + service + "\",\"maxAttempts\":" + attempts
            + ",\"public\":false,\"sticky\":false,\"resumable\":" + resumable + ",\"gapAimMs\":600}";
    }

    static String service(String name, int channels) {
        return "{\"name\":\"" + name + "\",\"healthPath\":\"/health\",\"maxConnections\":" + channels + ",\"protocol\":\"h1\",\"tls\":false}";
    }

    /** Waits until each node says that it is ready and the directory of each lists all of them. */
    boolean awaitReady(long limitMs) throws InterruptedException {
        long end = System.nanoTime() + limitMs * 1_000_000;
        while (System.nanoTime() < end) {
            boolean ready = true;
            for (String address : readyAddresses) ready &= get(address, "/readiness") != null;
            for (String address : directoryAddresses) {
                String listed = get(address, "/resolve?name=" + HOST + "&region=gt-central&zone=gt-central-a");
                ready &= listed != null && clientAddresses.stream().allMatch(a -> listed.contains('"' + a + '"'));
            }
            if (ready) return true;
            Thread.sleep(100);
        }
        return false;
    }

    /** Returns the body of an answer with status 200, or null. */
    static String get(String address, String target) {
        try {
            HttpURLConnection call = (HttpURLConnection) new URL("http://" + address + target).openConnection();
            call.setConnectTimeout(1_000);
            call.setReadTimeout(1_000);
            return call.getResponseCode() == 200 ? new String(call.getInputStream().readAllBytes()) : null;
        } catch (IOException e) {
            return null;
        }
    }

    /** Ends the processes that this fleet started and removes its temporary folder. */
    @Override
    public synchronized void close() {
        for (Process process : processes) process.destroyForcibly();
        for (Process process : processes) {
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        processes.clear();
        String kept = System.getenv("KEEP_LOGS");
        try (var files = Files.list(folder)) {
            for (Path file : (Iterable<Path>) files::iterator) {
                if (kept != null) Files.copy(file, Path.of(kept, file.getFileName().toString()), java.nio.file.StandardCopyOption.REPLACE_EXISTING);
                Files.delete(file);
            }
            Files.delete(folder);
        } catch (IOException e) {
            // The folder was removed before.
        }
    }
}
