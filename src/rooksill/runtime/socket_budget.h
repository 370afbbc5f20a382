// Division of a process's sockets among its uses, as ratios of `PlatformSettings::max_sockets`.
#pragma once

namespace rooksill::runtime {

// Incoming connections: workers, users and health checks.
inline constexpr double kIncomingSocketRatio = 0.65;
// Outgoing calls, nearly all of them to workers. The rest is for connections between controllers.
inline constexpr double kOutgoingSocketRatio = 0.3;

// Parts of the outgoing sockets: pending commands to workers, and pending probes of workers whose
// heartbeats are missing.
inline constexpr double kCommandSocketRatio = 0.13;
inline constexpr double kProbeSocketRatio = 0.13;
// Reserved for all other calls while both of those are in full use, as when hundreds of machines do
// not respond. A call that fails because no socket is free looks like a machine that refuses
// connections, and makes a zone that is being probed at that time look unreachable.
inline constexpr double kOtherCallSocketRatio = 0.03;

static_assert(kCommandSocketRatio + kProbeSocketRatio + kOtherCallSocketRatio <=
              kOutgoingSocketRatio);
static_assert(kIncomingSocketRatio + kOutgoingSocketRatio < 1);

}  // namespace rooksill::runtime
