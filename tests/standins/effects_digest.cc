#include "standins/effects_digest.h"

#include <string>

namespace standins {

void EffectsDigest::add(double now, std::string_view controller,
                        const rooksill::runtime::Effects& effects) {
  if (effects.calls.empty() && effects.replies.empty() && effects.peer_messages.empty()) return;
  add_number(now);
  add_text(controller);
  for (const auto& reply : effects.replies) {
    add_number(static_cast<double>(reply.request));
    add_number(reply.status);
    add_number(reply.retry_after_s);
    add_text(reply.body);
  }
  for (const auto& message : effects.peer_messages) {
    add_text(message.label);
    add_text(message.bytes);
  }
  for (const auto& call : effects.calls) {
    add_number(static_cast<double>(call.id));
    add_number(static_cast<int>(call.target));
    add_number(call.timeout_s);
    add_text(call.address);
    add_text(call.method);
    add_text(call.path);
    add_text(call.body);
  }
}

void EffectsDigest::add_text(std::string_view text) {
  for (const char c : text) hash_ = (hash_ ^ static_cast<unsigned char>(c)) * kFnvPrime;
  hash_ = (hash_ ^ text.size()) * kFnvPrime;
}

void EffectsDigest::add_number(double number) { add_text(std::to_string(number)); }

}  // namespace standins
