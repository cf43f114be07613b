import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** The machines of the nodes: each keeps its name and address, and runs the build of one checkout after the other. */
final class Machines {
    /** One machine; {@link #build} is the checkout whose build runs there. */
    static final class Machine {
        final String node;
        final String zone;
        final String ip;
        volatile Path build;
        volatile Process process;

        /** Whether its process was told to stop, or killed, and is not ready yet again. */
        volatile boolean away = true;
        volatile double killedAt = Double.NEGATIVE_INFINITY;
        int starts;

        Machine(String node, String zone, String ip) {
            this.node = node;
            this.zone = zone;
            this.ip = ip;
        }

        String front() {
            return ip + ":8221";
        }

        boolean isReady() {
            return Fleet.get(ip + ":8224", "/readiness") != null;
        }
    }

    /** The time that a node has to stop; the platform kills it then. */
    private static final int GRACE_S = 8;

    final List<Machine> all = new ArrayList<>();
    private final Fleet fleet;
    private final DutyCloud cloud;

    Machines(Fleet fleet, DutyCloud cloud, int count) {
        this.fleet = fleet;
        this.cloud = cloud;
        for (int i = 0; i < count; i++) {
            all.add(new Machine("edge-" + Fleet.zone(i) + "-" + (i + 1), Fleet.zone(i), fleet.nextHost()));
        }
    }

    /** Starts a process of {@code build} on the machine, with settings from the template of that build. */
    void start(Machine machine, Path build) throws IOException {
        Map<String, String> values = new LinkedHashMap<>();
        values.put("node", machine.node);
        values.put("zone", machine.zone);
        values.put("ip", machine.ip);
        values.put("listenAddrs.front", machine.front());
        values.put("listenAddrs.ready", machine.ip + ":8224");
        values.put("listenAddrs.directory", machine.ip + ":8220");
        values.put("platform.address", fleet.store.address);
        values.put("cloud.address", cloud.address);
        values.put("policies", System.getenv().getOrDefault("POLICIES", ""));
        values.put("bounds.graceS", Integer.toString(GRACE_S));
        values.put("bounds.leaseMs", "3000");
        values.put("bounds.thawSlackMs", "300");
        values.put("bounds.retryBudgetRatio", "0.2");
        values.put("bounds.budgetExtra", "56");
        values.put("bounds.budgetWindowS", "10");
        values.put("bounds.quotaWindowS", "8");
        values.put("bounds.quotaOvershoot", "0.1");
        values.put("bounds.quotaSlack", "110000");
        values.put("bounds.usageWindowS", Integer.toString(Upgrade.USAGE_WINDOW_S));
        values.put("bounds.usageLateS", Integer.toString(Upgrade.USAGE_LATE_S));
        values.put("bounds.contactMs", "3000");
        values.put("bounds.drainMs", "2000");
        String deploy = Files.readString(build.resolve("deploy/system.toml"));
        String settings = Files.readString(build.resolve(quoted(deploy, "template")));
        for (Map.Entry<String, String> value : values.entrySet()) {
            settings = settings.replace("{{" + value.getKey() + "}}", value.getValue());
        }
        machine.starts++;
        String name = machine.node + "-" + machine.starts;
        Path file = fleet.folder.resolve(name + ".yaml");
        Files.writeString(file, settings);
        ProcessBuilder builder = new ProcessBuilder(quoted(deploy, "run").split(" "));
        builder.directory(build.toFile());
        Map<String, String> environment = builder.environment();
        environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        environment.put("GYPSUMCART_CONFIG", file.toString());
        builder.redirectErrorStream(true).redirectOutput(fleet.folder.resolve(name + ".log").toFile());
        machine.build = build;
        machine.process = builder.start();
        fleet.processes.add(machine.process);
    }

    private static String quoted(String toml, String name) throws IOException {
        for (String line : toml.split("\n")) {
            if (line.startsWith(name + " = \"")) return line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
        }
        throw new IOException("the deploy file has no " + name);
    }

    /** Waits until the node on the machine says that it is ready; returns whether it does in time. */
    boolean awaitReady(Machine machine, long limitMs) throws InterruptedException {
        long end = System.nanoTime() + limitMs * 1_000_000;
        while (System.nanoTime() < end) {
            if (machine.isReady()) {
                machine.away = false;
                return true;
            }
            Thread.sleep(50);
        }
        return false;
    }

    /** Stops the process with SIGTERM, and kills it after the grace that it has. */
    void stop(Machine machine) throws InterruptedException {
        machine.away = true;
        machine.process.destroy();
        if (!machine.process.waitFor(GRACE_S, TimeUnit.SECONDS)) machine.process.destroyForcibly().waitFor();
    }

    void kill(Machine machine, double now) throws InterruptedException {
        machine.away = true;
        machine.killedAt = now;
        machine.process.destroyForcibly().waitFor();
    }
}
