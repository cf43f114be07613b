package gypsumcart.core.directory

import gypsumcart.core.Configuration
import gypsumcart.core.Decider
import gypsumcart.core.MonotonicTime

/** Says what comes of a configuration that was read. */
public sealed class AdoptionEffect {
    /** [configuration] is in force from now on. */
    public data class Adopt(public val configuration: Configuration) : AdoptionEffect()
}

/** Decides which configurations come into force: those with a higher version than any before. */
public class ConfigurationAdoption : Decider<Configuration, AdoptionEffect> {
    private var inForce: Configuration? = null

    override fun decide(event: Configuration, now: MonotonicTime): List<AdoptionEffect> {
        val before = inForce
        if (before != null && event.version <= before.version) return emptyList()
        inForce = event
        return listOf(AdoptionEffect.Adopt(event))
    }
}
