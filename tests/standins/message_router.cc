#include "standins/message_router.h"

#include <memory>
#include <string>

#include "rooksill/wire/controller_messages.h"
#include "standins/first_version.h"

namespace standins {

using rooksill::runtime::Call;
using rooksill::runtime::CallDone;
using rooksill::runtime::PeerMessage;
using rooksill::runtime::PeerSend;
using rooksill::runtime::Target;

namespace {

constexpr int kHttpOk = 200;

RequestLink link_to(Target target) {
  switch (target) {
    case Target::kStore:
      return RequestLink::kStore;
    case Target::kCloud:
      return RequestLink::kCloud;
    case Target::kWorker:
      break;
  }
  return RequestLink::kWorkers;
}

// Returns the index of a controller from its label: "c0", "c1", etc.
size_t index_of(const std::string& label) { return std::stoul(label.substr(1)); }

bool is_readable_by_first_version(const std::string& bytes) {
  const auto envelope = rooksill::wire::unpack<rooksill::wire::Envelope>(bytes);
  return envelope && envelope->version == rooksill::model::kFirstVersion;
}

}  // namespace

void MessageRouter::on_peer_message(size_t from, const PeerSend& message) {
  peer_bytes_ += message.bytes.size();
  check_known_to_first_version(from, message.bytes);
  const size_t to = index_of(message.label);
  const auto arrives_at = network_.route_to_peer(from, to);
  if (!arrives_at) return;
  simulation_.events.at(*arrives_at, [this, to, bytes = message.bytes] {
    deliver_peer_message(to, bytes);
    const auto delay = network_.draw_duplicate(RequestLink::kPeers);
    if (delay)
      simulation_.events.after(*delay, [this, to, bytes] { deliver_peer_message(to, bytes); });
  });
}

void MessageRouter::deliver_peer_message(size_t to, const std::string& bytes) {
  if (cluster_.version(to) == ControllerVersion::kFirst && !is_readable_by_first_version(bytes))
    return;
  cluster_.deliver(to, PeerMessage{bytes});
}

void MessageRouter::check_known_to_first_version(size_t from, const std::string& message) {
  if (store_.has_upgrade_record() && cluster_.version(from) == ControllerVersion::kCurrent) return;
  const std::string unknown = unknown_to_first_version(message);
  if (!unknown.empty())
    simulation_.add_violation("unknown to the first version, from " + cluster_.label(from) + ": " +
                              unknown);
}

void MessageRouter::on_call(size_t from, const Call& call) {
  const ResponseHandler on_response = respond_once(from, call.id);
  simulation_.events.after(call.timeout_s, [on_response] { on_response({}); });
  const auto delivery = network_.route_call(from, call);
  if (!delivery) return;
  simulation_.events.at(
      delivery->at, [this, from, call, on_response, is_response_lost = delivery->is_response_lost] {
        execute(from, call,
                [this, from, call, on_response, is_response_lost](const HttpResponse& response) {
                  if (is_response_lost) return;
                  simulation_.events.after(network_.draw_latency(),
                                           [on_response, response] { on_response(response); });
                  if (response.status == kHttpOk && call.method != "GET") duplicate(from, call);
                });
      });
}

void MessageRouter::duplicate(size_t from, const Call& call) {
  const auto delay = network_.draw_duplicate(link_to(call.target));
  if (!delay) return;
  simulation_.events.after(*delay,
                           [this, from, call] { execute(from, call, [](const HttpResponse&) {}); });
}

// Later responses are ignored, as are responses to a process that has been restarted since.
MessageRouter::ResponseHandler MessageRouter::respond_once(size_t from, uint64_t call_id) {
  return [this, from, call_id, generation = cluster_.generation(from),
          has_responded = std::make_shared<bool>(false)](const HttpResponse& response) {
    if (std::exchange(*has_responded, true)) return;
    if (cluster_.generation(from) != generation) return;
    cluster_.deliver(from, CallDone{call_id, response.status, response.body, false});
  };
}

void MessageRouter::execute(size_t from, const Call& call, const ResponseHandler& on_response) {
  switch (call.target) {
    case Target::kStore:
      return execute_at_store(from, call, on_response);
    case Target::kCloud:
      return on_response(cloud_.handle(simulation_.now(), {call.method, call.path, call.body}));
    case Target::kWorker:
      return fleet_.handle_call(call.address.substr(0, call.address.find(':')), call, on_response);
  }
}

void MessageRouter::execute_at_store(size_t from, const Call& call,
                                     const ResponseHandler& on_response) {
  if (refused_by_store_.count(from) != 0) return on_response({503, "{}"});
  const HttpRequest request{call.method, call.path, call.body};
  if (cluster_.version(from) == ControllerVersion::kFirst)
    return first_version_store_.handle(simulation_.now(), request, on_response);
  store_.handle(simulation_.now(), request, on_response);
}

void MessageRouter::set_refused_by_store(size_t controller, bool refused) {
  if (refused)
    refused_by_store_.insert(controller);
  else
    refused_by_store_.erase(controller);
}

}  // namespace standins
