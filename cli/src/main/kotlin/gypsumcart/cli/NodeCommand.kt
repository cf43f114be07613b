package gypsumcart.cli

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.path
import gypsumcart.core.addressOrNull
import gypsumcart.http.HttpClient
import gypsumcart.node.EdgeRuntime
import gypsumcart.node.Node
import gypsumcart.node.NodeSettings
import gypsumcart.platform.HttpPlatform
import gypsumcart.platform.StoreTiming
import gypsumcart.platform.featuresOf
import org.slf4j.LoggerFactory
import sun.misc.Signal
import java.nio.file.Path
import kotlin.system.exitProcess
import kotlin.time.Duration.Companion.seconds

/** Runs a node until SIGTERM; SIGHUP checks the settings file. */
internal class NodeCommand : CliktCommand("node") {
    private val settings by option("--settings", envvar = SETTINGS_VARIABLE).path().required()

    override fun help(context: Context): String = "Runs a node. Shuts down on SIGTERM and exits with 0."

    override fun run() {
        val node = createNode(readSettingsOrExit(settings))
        Signal.handle(Signal("TERM")) { node.stop() }
        Signal.handle(Signal("HUP")) { logSettingsCheck(settings) }
        node.start()
        node.awaitStopped()
        exitProcess(0)
    }

    private fun createNode(settings: NodeSettings): Node {
        val runtime = EdgeRuntime()
        val client = HttpClient(runtime.loop, CONNECT_TIMEOUT)
        val store = checkNotNull(addressOrNull(settings.store)) { "invalid store address ${settings.store}" }
        val timing = StoreTiming.within(settings.bounds)
        val features = featuresOf(settings)
        val platform =
            HttpPlatform(
                settings.node,
                store,
                addressOrNull(settings.cloud),
                client,
                timing,
                relaysFeeds = features.relayedFeeds,
            )
        return Node(settings, platform, runtime, client, features)
    }

    /** Logs whether the settings file is valid; a node applies changed settings only when it restarts. */
    private fun logSettingsCheck(path: Path) {
        val read = gypsumcart.node.readSettings(path)
        log.info("event=settings_checked usable={}", read.isOk)
    }

    private companion object {
        private val log = LoggerFactory.getLogger(NodeCommand::class.java)

        /** Connecting within a region takes milliseconds; a lost packet is retransmitted after one second. */
        val CONNECT_TIMEOUT = 1.seconds
    }
}
