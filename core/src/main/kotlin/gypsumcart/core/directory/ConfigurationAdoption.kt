package gypsumcart.core.directory

import gypsumcart.core.Configuration
import gypsumcart.core.ConfigurationVersion
import gypsumcart.core.Decider
import gypsumcart.core.MonotonicTime

/** Represents an output of the [ConfigurationAdoption] decider. */
public sealed class AdoptionEffect {
    /** Puts [configuration] into force. */
    public data class Adopt(public val configuration: Configuration) : AdoptionEffect()

    /** Reports that the configuration with [version] was not adopted because the one with [inForce] is not older. */
    public data class Ignore(
        public val version: ConfigurationVersion,
        public val inForce: ConfigurationVersion,
    ) : AdoptionEffect()
}

/** Decides which configurations to adopt: those with a higher version than the one in force. */
public class ConfigurationAdoption : Decider<Configuration, AdoptionEffect> {
    private var inForce: Configuration? = null

    override fun decide(event: Configuration, now: MonotonicTime): List<AdoptionEffect> {
        val before = inForce
        if (before != null && event.version <= before.version) {
            return listOf(AdoptionEffect.Ignore(event.version, before.version))
        }
        inForce = event
        return listOf(AdoptionEffect.Adopt(event))
    }
}
