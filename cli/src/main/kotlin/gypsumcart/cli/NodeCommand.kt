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
import gypsumcart.platform.UsersPlatform
import org.slf4j.LoggerFactory
import sun.misc.Signal
import java.nio.file.Path
import kotlin.system.exitProcess
import kotlin.time.Duration.Companion.seconds

/** Runs a node until it is asked to end. */
internal class NodeCommand : CliktCommand("node") {
    private val settings by option("--settings", envvar = SETTINGS_VARIABLE).path().required()

    override fun help(context: Context): String = "Runs a node. Ends on SIGTERM with exit code 0."

    override fun run() {
        val node = startNode(readOrExit(settings))
        Signal.handle(Signal("TERM")) { node.stop() }
        Signal.handle(Signal("HUP")) { reload(settings) }
        node.awaitStopped()
        exitProcess(0)
    }

    private fun startNode(settings: NodeSettings): Node {
        val runtime = EdgeRuntime()
        val client = HttpClient(runtime.selector, CONNECT_LIMIT)
        val store = checkNotNull(addressOrNull(settings.store)) { "the settings were checked before" }
        val platform = UsersPlatform(settings.node, store, addressOrNull(settings.cloud), client)
        return Node(settings, platform, runtime, client).also { it.start() }
    }

    /** Settings of a running node don't change but by a restart; a reload tells whether the new ones can be used. */
    private fun reload(path: Path) {
        val read = gypsumcart.node.readSettings(path)
        log.info("event=settings_checked usable={}", read.isOk)
    }

    private companion object {
        private val log = LoggerFactory.getLogger(NodeCommand::class.java)

        /** A connection within a region is made in milliseconds; one lost packet is repeated after a second. */
        val CONNECT_LIMIT = 1.seconds
    }
}
