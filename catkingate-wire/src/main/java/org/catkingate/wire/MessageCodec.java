package org.catkingate.wire;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.introspect.Annotated;
import com.fasterxml.jackson.databind.introspect.JacksonAnnotationIntrospector;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.jackson.dataformat.MessagePackFactory;

import org.catkingate.model.RequestId;

/**
 * An encoder and decoder between messages and MessagePack. An encoded message consists of
 * its kind, a small integer, and its fields. {@link RequestMessage.ResponseData} and
 * {@link RequestMessage.ResponseProgress}, which are frequent, are packed by hand; all
 * others are written as arrays by Jackson. Stateless and safe for use by any thread.
 *
 * @since 0.1
 */
public final class MessageCodec {

	/**
	 * The kinds of message; the number of a kind is its position in this list. New kinds
	 * must be appended, and kinds must not be removed.
	 */
	private static final List<Class<? extends Message>> KINDS = List.of(HandshakeMessage.Hello.class,
			HandshakeMessage.Proof.class, ControlMessage.Heartbeat.class, ControlMessage.AgentStatus.class,
			ControlMessage.ConfigurationAnnouncement.class, ControlMessage.ConfigurationRequest.class,
			ControlMessage.ConfigurationContent.class, RequestMessage.Dispatch.class, RequestMessage.ResponseHead.class,
			RequestMessage.ResponseData.class, RequestMessage.ResponseEnd.class, RequestMessage.ResponseFailure.class,
			RequestMessage.Cancel.class, RequestMessage.ResponseProgress.class, RequestMessage.Attach.class,
			WeightsMessage.AvailableChunks.class, WeightsMessage.ManifestRequest.class,
			WeightsMessage.ManifestContent.class, WeightsMessage.ChunkRequest.class, WeightsMessage.ChunkSlice.class,
			WeightsMessage.ChunkRejection.class, IdempotencyKeyMessage.StatementRequest.class,
			IdempotencyKeyMessage.StatementResponse.class, IdempotencyKeyMessage.IssueKeyRequest.class,
			IdempotencyKeyMessage.IssueKeyResponse.class, WeightsMessage.VersionDigestsRequest.class,
			WeightsMessage.VersionDigests.class, RunnerMessage.RunnerUpdate.class,
			RunnerMessage.VersionDeclaration.class, RunnerMessage.RolloutPosition.class,
			RegistryMessage.CopyRequest.class, RegistryMessage.CopyContent.class, RunnerMessage.ForwardedUpdate.class,
			RunnerMessage.RunnerUpdates.class, GatewayMessage.GatewayAddress.class, GatewayMessage.GatewayList.class,
			PromptMessage.PartReports.class, LimitMessage.LimitReports.class, LimitMessage.PermitRequest.class,
			LimitMessage.PermitGrant.class, LimitMessage.PermitReturn.class, WeightsMessage.RequestsPending.class,
			GatewayMessage.KnownGateways.class);

	private static final int RESPONSE_DATA_KIND = KINDS.indexOf(RequestMessage.ResponseData.class);

	private static final int RESPONSE_PROGRESS_KIND = KINDS.indexOf(RequestMessage.ResponseProgress.class);

	private static final ObjectMapper MAPPER = createMapper();

	private MessageCodec() {
	}

	private static ObjectMapper createMapper() {
		ObjectMapper mapper = new ObjectMapper(new MessagePackFactory());
		mapper.setAnnotationIntrospector(new RecordAsArrayIntrospector());
		return mapper;
	}

	/**
	 * Encodes a message.
	 * @param message the message, never null
	 * @return the encoded bytes, never null
	 */
	public static byte[] encode(Message message) {
		int kind = KINDS.indexOf(message.getClass());
		if (kind < 0) {
			throw new IllegalArgumentException(message.getClass() + " is not a registered kind of message");
		}
		try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
			packer.packInt(kind);
			if (message instanceof RequestMessage.ResponseData data) {
				pack(packer, data);
			}
			else if (message instanceof RequestMessage.ResponseProgress progress) {
				pack(packer, progress);
			}
			else {
				byte[] fields = MAPPER.writeValueAsBytes(message);
				packer.writePayload(fields);
			}
			return packer.toByteArray();
		}
		catch (IOException ex) {
			throw new IllegalStateException("message could not be encoded to a memory buffer", ex);
		}
	}

	private static void pack(MessageBufferPacker packer, RequestMessage.ResponseData data) throws IOException {
		pack(packer, data.request());
		packer.packLong(data.offset());
		packer.packBinaryHeader(data.bytes().length);
		packer.writePayload(data.bytes());
	}

	private static void pack(MessageBufferPacker packer, RequestMessage.ResponseProgress progress) throws IOException {
		pack(packer, progress.request());
		packer.packLong(progress.offset());
	}

	private static void pack(MessageBufferPacker packer, RequestId request) throws IOException {
		packer.packLong(request.high());
		packer.packLong(request.low());
	}

	/**
	 * Decodes a message.
	 * @param bytes the encoded bytes, never null
	 * @return the message, never null
	 * @throws WireException if the bytes are not a valid message
	 */
	public static Message decode(byte[] bytes) throws WireException {
		try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
			int kind = unpacker.unpackInt();
			if (kind < 0 || kind >= KINDS.size()) {
				throw createMalformedException("unknown kind " + kind, null);
			}
			if (kind == RESPONSE_DATA_KIND) {
				return unpackData(unpacker);
			}
			if (kind == RESPONSE_PROGRESS_KIND) {
				return new RequestMessage.ResponseProgress(unpackRequest(unpacker), unpacker.unpackLong());
			}
			int start = (int) unpacker.getTotalReadBytes();
			return MAPPER.readValue(bytes, start, bytes.length - start, KINDS.get(kind));
		}
		catch (WireException ex) {
			throw ex;
		}
		catch (IOException | MessagePackException | IllegalArgumentException ex) {
			throw createMalformedException(ex.getClass().getSimpleName(), ex);
		}
	}

	private static RequestMessage.ResponseData unpackData(MessageUnpacker unpacker) throws IOException {
		RequestId request = unpackRequest(unpacker);
		long offset = unpacker.unpackLong();
		int length = unpacker.unpackBinaryHeader();
		if (length > FrameLimits.MAX_FRAME_BYTES) {
			throw createMalformedException("binary of " + length + " bytes", null);
		}
		return new RequestMessage.ResponseData(request, offset, unpacker.readPayload(length));
	}

	private static RequestId unpackRequest(MessageUnpacker unpacker) throws IOException {
		return new RequestId(unpacker.unpackLong(), unpacker.unpackLong());
	}

	private static WireException createMalformedException(String fault, Throwable cause) {
		return new WireException(WireException.Kind.MALFORMED,
				"received bytes that are not a valid message (" + fault + "); run the same release on both sides",
				cause);
	}

	static List<Class<? extends Message>> kinds() {
		return new ArrayList<>(KINDS);
	}

	/**
	 * Makes Jackson write records as arrays, without the names of their components.
	 */
	private static final class RecordAsArrayIntrospector extends JacksonAnnotationIntrospector {

		private static final long serialVersionUID = 1L;

		@Override
		public JsonFormat.Value findFormat(Annotated annotated) {
			if (annotated.getRawType().isRecord()) {
				return JsonFormat.Value.forShape(JsonFormat.Shape.ARRAY);
			}
			return super.findFormat(annotated);
		}

	}

}
