// Return of machines to the cloud.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "rooksill/fleet/cloud_client.h"
#include "rooksill/fleet/machine_lists.h"
#include "rooksill/runtime/context.h"
#include "rooksill/runtime/effects.h"

namespace rooksill::fleet {

// A machine that is not needed is drained: its owner starts no new tasks there, and its tasks are
// moved or left to finish. A drain can be cancelled. A release cannot: it is requested until the
// cloud confirms it, which proves that the machine and its tasks are gone.
class MachineReturns {
 public:
  MachineReturns(runtime::Context& context, CloudClient& cloud, MachineLists& lists)
      : context_(context), cloud_(cloud), lists_(lists) {}

  // Clears the drains and releases of a former term.
  void start_term();

  // Starts to drain the machine.
  void drain(const std::string& name) { draining_.insert(name); }
  // Cancels the drain of the machine.
  void stop_draining(const std::string& name) { draining_.erase(name); }
  // Starts to release the machine; no effect if it is being released. `reason` is for the log.
  void release(const std::string& name, const std::string& reason);

  // Requests the releases that are not in flight, up to the batch limit of one request.
  void send_releases();
  // Forgets confirmed releases that are older than the maximum lag of the cloud's list.
  void forget_old_releases();

  // Returns the names of the machines being drained.
  const std::set<std::string>& draining() const { return draining_; }
  // Returns whether the machine is being drained.
  bool is_draining(const std::string& name) const { return draining_.count(name) != 0; }
  // Returns whether a release was started that the cloud has not confirmed yet.
  bool is_being_released(const std::string& name) const { return releasing_.count(name) != 0; }
  // Returns whether the machine is being released, or is released and still in a partition's list.
  // Such a machine no longer provides capacity.
  bool is_leaving(const std::string& name) const {
    return is_being_released(name) || lists_.is_removal_pending(name);
  }
  // Returns whether the machine was released so recently that the cloud's list may still contain
  // it.
  bool was_recently_released(const std::string& name) const {
    return released_at_.count(name) != 0;
  }

 private:
  void on_response(const std::vector<std::string>& names, const runtime::CallDone& done);

  runtime::Context& context_;
  CloudClient& cloud_;
  MachineLists& lists_;
  std::set<std::string> draining_;
  std::map<std::string, std::string> releasing_;  // reason by machine
  std::set<std::string> releases_in_flight_;      // machines in a request without a response
  std::map<std::string, double> released_at_;     // by machine, steady clock
};

}  // namespace rooksill::fleet
