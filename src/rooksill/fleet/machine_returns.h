// Machines on their way back to the cloud.
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

// A machine that is not needed is drained: its owner starts nothing new there, its tasks are moved
// or left to finish, and it can still be kept. A release is final: it is requested again until the
// cloud confirms it, which proves that the machine and its tasks are gone.
class MachineReturns {
 public:
  MachineReturns(runtime::Context& context, CloudClient& cloud, MachineLists& lists)
      : context_(context), cloud_(cloud), lists_(lists) {}

  void start_term();

  void drain(const std::string& name) { draining_.insert(name); }
  void stop_draining(const std::string& name) { draining_.erase(name); }
  void release(const std::string& name, const std::string& reason);

  // Requests the releases that are not under way, up to a batch.
  void send_releases();
  // Forgets confirmed releases that the cloud's list cannot lag behind any more.
  void forget_old_releases();

  const std::set<std::string>& draining() const { return draining_; }
  bool is_draining(const std::string& name) const { return draining_.count(name) != 0; }
  bool is_being_released(const std::string& name) const { return releasing_.count(name) != 0; }
  // Being released, or released and still in a partition's list: it does not count any more.
  bool is_leaving(const std::string& name) const {
    return is_being_released(name) || lists_.is_removal_pending(name);
  }
  // Released lately: the cloud's list, which lags, may still show it.
  bool was_recently_released(const std::string& name) const { return released_at_.count(name) != 0; }

 private:
  void on_response(const std::vector<std::string>& names, const runtime::CallDone& done);

  runtime::Context& context_;
  CloudClient& cloud_;
  MachineLists& lists_;
  std::set<std::string> draining_;
  std::map<std::string, std::string> releasing_;  // reasons by machine
  std::set<std::string> releases_in_flight_;               // in a request that is under way
  std::map<std::string, double> released_at_;     // by machine, steady clock
};

}  // namespace rooksill::fleet
