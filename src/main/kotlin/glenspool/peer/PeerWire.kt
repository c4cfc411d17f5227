package glenspool.peer

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray

/**
 * The encoding of messages between controllers. Decoding ignores unknown fields, which later versions may add, and
 * throws [kotlinx.serialization.SerializationException] if the bytes are not a message of the expected type.
 */
@OptIn(ExperimentalSerializationApi::class)
object PeerWire {
    private val cbor = Cbor { ignoreUnknownKeys = true }

    fun encode(status: PeerStatus): ByteArray = cbor.encodeToByteArray(status)

    fun encode(request: RelayRequest): ByteArray = cbor.encodeToByteArray(request)

    fun encode(answer: RelayAnswer): ByteArray = cbor.encodeToByteArray(answer)

    fun encode(message: CancellationMessage): ByteArray = cbor.encodeToByteArray(message)

    fun encode(request: RolloutRequest): ByteArray = cbor.encodeToByteArray(request)

    fun encode(reply: RolloutReply): ByteArray = cbor.encodeToByteArray(reply)

    fun encode(request: RecoveryRequest): ByteArray = cbor.encodeToByteArray(request)

    fun encode(reply: RecoveryReply): ByteArray = cbor.encodeToByteArray(reply)

    fun decodeStatus(bytes: ByteArray): PeerStatus = cbor.decodeFromByteArray(bytes)

    fun decodeRelayRequest(bytes: ByteArray): RelayRequest = cbor.decodeFromByteArray(bytes)

    fun decodeRelayAnswer(bytes: ByteArray): RelayAnswer = cbor.decodeFromByteArray(bytes)

    fun decodeCancellations(bytes: ByteArray): CancellationMessage = cbor.decodeFromByteArray(bytes)

    fun decodeRolloutRequest(bytes: ByteArray): RolloutRequest = cbor.decodeFromByteArray(bytes)

    fun decodeRolloutReply(bytes: ByteArray): RolloutReply = cbor.decodeFromByteArray(bytes)

    fun decodeRecoveryRequest(bytes: ByteArray): RecoveryRequest = cbor.decodeFromByteArray(bytes)

    fun decodeRecoveryReply(bytes: ByteArray): RecoveryReply = cbor.decodeFromByteArray(bytes)
}
