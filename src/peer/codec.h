// Encodes and decodes peer messages (cereal, portable binary). Decoding invalid bytes returns
// BadInput and never throws.
#pragma once

#include <span>
#include <string>

#include "core/errors.h"
#include "peer/messages.h"

namespace monsoon {

// A larger frame closes the connection.
inline constexpr std::size_t kMaxPeerFrameBytes = 4 * 1024 * 1024;

[[nodiscard]] std::string Encode(const Heartbeat& aHeartbeat);
[[nodiscard]] std::string Encode(const RequestFrame& aFrame);
[[nodiscard]] std::string Encode(const ReplyFrame& aFrame);

[[nodiscard]] Result<Heartbeat> DecodeHeartbeat(std::span<const char> aBytes);
[[nodiscard]] Result<RequestFrame> DecodeRequest(std::span<const char> aBytes);
[[nodiscard]] Result<ReplyFrame> DecodeReply(std::span<const char> aBytes);

}  // namespace monsoon
