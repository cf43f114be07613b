package gypsumcart.node

import gypsumcart.core.BackEndId
import gypsumcart.core.Incarnation
import gypsumcart.core.PromptPartId
import gypsumcart.core.routing.CrashEvidence
import gypsumcart.core.routing.InstanceKey
import kotlinx.serialization.Serializable
import kotlin.time.Duration.Companion.milliseconds

/**
 * Represents evidence of crashes, in reports to other nodes and in rows of the store.
 *
 * @property answered the time since a response started, in milliseconds
 */
@Serializable
internal class WireCrashEvidence(val part: String, val at: List<WireCrash>, val answered: Long? = null)

/** Represents the crash of an instance [age] milliseconds ago. */
@Serializable
internal class WireCrash(val id: String, val incarnation: Long, val age: Long)

internal fun CrashEvidence.toWire(): WireCrashEvidence =
    WireCrashEvidence(
        part.text,
        crashes.map { (instance, age) ->
            WireCrash(instance.id.text, instance.incarnation.number, age.inWholeMilliseconds)
        },
        answeredAge?.inWholeMilliseconds,
    )

internal fun WireCrashEvidence.toEvidence(): CrashEvidence =
    CrashEvidence(
        PromptPartId(part),
        at.associate { InstanceKey(BackEndId(it.id), Incarnation(it.incarnation)) to it.age.milliseconds },
        answered?.milliseconds,
    )
