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

    override fun help(context: Context): String = "Checks a settings file. Exits with 2 if it is unreadable or invalid."

    override fun run() {
        val valid = readSettingsOrExit(settings)
        echo("node ${valid.node} in zone ${valid.zone}: the settings are valid")
    }
}

/** Reads the settings file at [path]; if it is unreadable or invalid, prints the error and exits with code 2. */
internal fun CliktCommand.readSettingsOrExit(path: Path): NodeSettings =
    readSettings(path).getOrElse { error ->
        echo(error.toMessage(), err = true)
        throw ProgramResult(INVALID_SETTINGS_EXIT_CODE)
    }

private fun SettingsError.toMessage(): String =
    when (this) {
        is SettingsError.Unreadable -> "event=settings_unreadable path=$path cause=\"$cause\""
        is SettingsError.Invalid -> "event=settings_invalid place=\"$place\" detail=\"$detail\""
    }

/** The environment variable for the path of the settings file. */
internal const val SETTINGS_VARIABLE = "GYPSUMCART_CONFIG"

private const val INVALID_SETTINGS_EXIT_CODE = 2
