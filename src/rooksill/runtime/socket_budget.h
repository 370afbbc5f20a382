// How a process's sockets are divided among its uses, as shares of `PlatformSettings::max_sockets`.
#pragma once

namespace rooksill::runtime {

// Incoming connections: workers, users and health checks.
inline constexpr double kIncomingSocketRatio = 0.65;
// Outgoing calls, nearly all of them to workers. What remains is for connections between
// controllers.
inline constexpr double kOutgoingSocketRatio = 0.3;

// Of the outgoing ones: commands to workers under way, and probes of silent workers under way.
inline constexpr double kCommandSocketRatio = 0.13;
inline constexpr double kProbeSocketRatio = 0.13;
// Left for all other calls while both are in full use, as when hundreds of machines do not answer.
// A call that fails here for want of a socket looks like a machine that refuses connections, and a
// zone whose machines are probed at that moment like one that is cut off.
inline constexpr double kOtherCallSocketRatio = 0.03;

static_assert(kCommandSocketRatio + kProbeSocketRatio + kOtherCallSocketRatio <= kOutgoingSocketRatio);
static_assert(kIncomingSocketRatio + kOutgoingSocketRatio < 1);

}  // namespace rooksill::runtime
