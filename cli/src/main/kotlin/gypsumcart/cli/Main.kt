package gypsumcart.cli

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.core.subcommands
import gypsumcart.cli.explain.ExplainCommand

/** Groups the subcommands of the program. */
private class Gypsumcart : CliktCommand("gypsumcart") {
    override fun help(context: Context): String =
        "Routes requests to replicas of models. Runs on hosts that can be reclaimed."

    override fun run(): Unit = Unit
}

/** Runs the subcommand that [arguments] select. */
public fun main(
    arguments: Array<String>,
): Unit = Gypsumcart().subcommands(NodeCommand(), CheckCommand(), DemoCommand(), ExplainCommand()).main(arguments)
