package gypsumcart.core

import gypsumcart.core.directory.AdoptionEffect
import gypsumcart.core.directory.ConfigurationAdoption
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import strikt.assertions.isNull

class ConfigurationTest {
    @Test
    fun `a path is matched to the longest prefix among the routes of its host`() {
        val short = route(CallKind.Idempotent, prefix = "/calls/")
        val long = route(CallKind.AtMostOnce, prefix = "/calls/more/")
        val configuration = configuration(routes = listOf(short, long))
        expectThat(configuration.routeOrNull("host.example", "/calls/more/x")).isEqualTo(long)
        expectThat(configuration.routeOrNull("host.example", "/calls/moreover")).isEqualTo(short)
        expectThat(configuration.routeOrNull("other.example", "/calls/more/x")).isNull()
    }

    @Test
    fun `only a configuration with a higher version than the one in force is adopted`() {
        val adoption = ConfigurationAdoption()
        val second = configuration(version = 2)
        expectThat(adoption.decide(second, MonotonicTime(0))).containsExactly(AdoptionEffect.Adopt(second))
        for (number in listOf(1L, 2L)) {
            expectThat(adoption.decide(configuration(version = number), MonotonicTime(0)))
                .containsExactly(AdoptionEffect.Ignore(ConfigurationVersion(number), second.version))
        }
    }
}
