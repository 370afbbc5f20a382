// How a process's sockets are divided among what it does. Ratios to the platform's `max_sockets`.
#pragma once

namespace rooksill::runtime {

// Connections that come in: workers, users, health checks.
inline constexpr double kIncomingSockets = 0.65;
// Calls that go out, nearly all of them to workers. The rest is for the other controllers.
inline constexpr double kOutgoingSockets = 0.3;
// Of the outgoing ones, for commands and for probes under way.
inline constexpr double kCommandSockets = 0.13, kProbeSockets = 0.13;
// Left for all other calls when both are in full use, as when hundreds of machines do not answer.
// A call refused here for want of a socket looks like a machine that refuses it, and a zone whose
// machines are asked then like one that is cut off.
inline constexpr double kOtherCallSockets = 0.03;

static_assert(kCommandSockets + kProbeSockets + kOtherCallSockets <= kOutgoingSockets);
static_assert(kIncomingSockets + kOutgoingSockets < 1);

}  // namespace rooksill::runtime
