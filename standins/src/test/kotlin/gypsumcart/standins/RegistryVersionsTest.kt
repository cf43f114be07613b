package gypsumcart.standins

import com.github.michaelbull.result.get
import gypsumcart.http.HttpClient
import gypsumcart.node.EdgeRuntime
import gypsumcart.platform.HttpPlatform
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import kotlin.time.Duration.Companion.seconds

class RegistryVersionsTest {
    private val fleet = StandInFleet()
    private val runtime = EdgeRuntime()
    private val platform =
        HttpPlatform(
            "node-1",
            fleet.storeAddress,
            cloud = null,
            HttpClient(runtime.loop, 1.seconds),
        )

    private fun readVersions(): Map<String, Set<String?>>? =
        runBlocking(runtime.scope.coroutineContext) { platform.readVersions() }
            .get()
            ?.entries
            ?.associate { (service, versions) -> service.text to versions.map { it?.text }.toSet() }

    private fun register(id: String, service: String, version: String) {
        val entry = """{"service":"$service","address":"127.0.0.1:9","zone":"a","state":"ready","version":$version}"""
        fleet.store.put("servers", id, entry)
    }

    // Guards against a version that is missed because its back ends are on a later page, or beside an unreadable entry.
    @Test
    fun `the versions on all pages of the registry are read, or none`() {
        register("a", "drafts", "\"v1\"")
        register("b", "drafts", "\"v1\"")
        fleet.store.put("servers", "c", "no entry")
        register("d", "drafts", "\"v2\"")
        register("e", "labels", "null")
        fleet.store.pageSize = 2
        expectThat(readVersions()).isEqualTo(mapOf("drafts" to setOf("v1", "v2"), "labels" to setOf(null)))
        fleet.store.fault = StoreFault.LaterPagesUnavailable
        expectThat(readVersions()).isNull()
    }
}
