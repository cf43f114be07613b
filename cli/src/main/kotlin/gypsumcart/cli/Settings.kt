package gypsumcart.cli

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.path
import com.github.michaelbull.result.getOrElse
import gypsumcart.node.NodeSettings
import gypsumcart.node.SettingsError
import gypsumcart.node.readSettings
import java.nio.file.Path

/** Checks a settings file without starting anything. */
internal class CheckCommand : CliktCommand("check") {
    private val settings by option("--settings", envvar = SETTINGS_VARIABLE).path().required()

    override fun help(context: Context): String = "Checks a settings file. Exits with 2 if it can't be used."

    override fun run() {
        val read = readOrExit(settings)
        echo("node ${read.node} in zone ${read.zone}: the settings can be used")
    }
}

/** Reads the settings, or ends the program with the error. */
internal fun CliktCommand.readOrExit(path: Path): NodeSettings =
    readSettings(path).getOrElse { error ->
        echo(error.toMessage(), err = true)
        throw ProgramResult(BAD_SETTINGS)
    }

private fun SettingsError.toMessage(): String =
    when (this) {
        is SettingsError.Unreadable -> "event=settings_unreadable path=$path cause=\"$cause\""
        is SettingsError.Invalid -> "event=settings_invalid place=\"$place\" detail=\"$detail\""
    }

/** The variable that holds the path of the settings file. */
internal const val SETTINGS_VARIABLE = "GYPSUMCART_CONFIG"

/** The exit code for settings that can't be used. */
private const val BAD_SETTINGS = 2
