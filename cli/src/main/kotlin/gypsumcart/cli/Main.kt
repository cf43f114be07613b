package gypsumcart.cli

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.core.subcommands
import gypsumcart.cli.explain.ExplainCommand

/** Groups the commands of the program. */
private class Gypsumcart : CliktCommand("gypsumcart") {
    override fun help(context: Context): String = "Serves requests on reclaimable hosts before replicas of models."

    override fun run(): Unit = Unit
}

/** Runs the program. */
public fun main(
    arguments: Array<String>,
): Unit = Gypsumcart().subcommands(NodeCommand(), CheckCommand(), DemoCommand(), ExplainCommand()).main(arguments)
