// The simulated network between controllers, workers, the key-value store and the cloud.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>

#include "rooksill/runtime/effects.h"
#include "standins/simulation.h"

namespace standins {

// The connections of a controller that can fail separately.
enum class Link { kStore, kCloud, kWorkers, kPeers, kAll };

// What happens to packets while a link is cut.
enum class CutMode {
  kDrop,  // lost
  kHold,  // delivered when the cut ends
};

struct Cut {
  double until = 0;
  CutMode mode = CutMode::kDrop;
  bool is_active(double now) const { return until > now; }
};

// The network state of one machine.
struct MachineLink {
  std::string zone;
  Cut cut;                         // both directions
  double inbound_lost_until = 0;   // commands and answers to it are lost, its heartbeats arrive
  double outbound_lost_until = 0;  // it cannot open connections, commands and their answers pass
};

// Delays a message with this probability by a uniformly drawn time.
struct RandomDelay {
  double probability = 0;
  double max_delay_s = 0;
};

// Faults that strike single messages at random. All are off at first.
struct MessageFaults {
  double lost_response_probability = 0;     // of calls by controllers: executed, but the answer is lost
  RandomDelay delayed_requests;         // to the store and to workers
  RandomDelay delayed_transactions;     // executed late, after newer ones, and never answered
  RandomDelay delayed_commands;         // to workers, while heartbeats and answers pass
  RandomDelay duplicate_heartbeats;  // a copy arrives late, at any controller
  double max_store_delay_s = 0;          // each request to the store takes up to so long
};

// What becomes of a call.
struct Delivery {
  double at = 0;
  bool is_response_lost = false;
};

// What becomes of a heartbeat.
struct HeartbeatRoute {
  enum class Disposition { kDelivered, kDelayed, kLost } disposition = Disposition::kDelivered;
  double delayed_until = 0;  // for kHeld
};

// Decides for each message whether and when it arrives. Delivering it is up to the caller.
class Network {
 public:
  static constexpr double kMinTransactionDelaySeconds = 1;  // s, of late transactions

  explicit Network(Simulation& simulation) : simulation_(simulation) {}

  // One way between two processes, in seconds. One draw.
  double latency();

  // Messages to machines that are unknown, or removed, are lost.
  void add_machine(const std::string& name, const std::string& zone);
  void remove_machine(const std::string& name) { machines_.erase(name); }
  // Of a machine that is not removed.
  MachineLink& machine(const std::string& name) { return machines_.at(name); }
  MessageFaults& message_faults() { return message_faults_; }

  // Replaces the link's earlier cut.
  void cut_controller(size_t controller, Link link, const Cut& cut);
  // Until then the zone's machines and this controller reach one another whatever else is cut.
  void partition_zone(const std::string& zone, size_t controller, double until);

  // When a message to another controller arrives; nothing if it is lost.
  std::optional<double> route_to_peer(size_t from, size_t to);
  // When a call reaches the store, the cloud or a worker; nothing if it is lost.
  std::optional<Delivery> route_call(size_t from, const rooksill::runtime::Call& call);
  HeartbeatRoute route_heartbeat(const std::string& machine, size_t controller) const;
  // Whether the machine misses the answer to a heartbeat that arrives now.
  bool loses_responses(const std::string& machine, size_t controller) const;

 private:
  struct ZonePartition {
    std::string zone;
    size_t controller = 0;
    double until = 0;
  };

  // The cut that separates the controller from all that the link leads to, if there is one.
  const Cut* active_cut(size_t controller, Link link) const;
  bool is_in_same_partition(const MachineLink& machine, size_t controller) const;
  std::optional<double> arrival_after_cuts(size_t from, const rooksill::runtime::Call& call, double at);
  std::optional<double> arrival_after_machine_cut(size_t from, const MachineLink& machine, double at);
  void apply_message_faults(const rooksill::runtime::Call& call, Delivery& delivery);

  Simulation& simulation_;
  std::map<size_t, std::map<Link, Cut>> controller_cuts_;
  std::map<std::string, MachineLink> machines_;
  ZonePartition zone_partition_;
  MessageFaults message_faults_;
};

}  // namespace standins
