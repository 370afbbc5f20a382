// The workers of the partitions that this controller owns, and the addresses of all workers.
#pragma once

#include <cstddef>
#include <functional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "rooksill/agent/worker.h"
#include "rooksill/model/identifiers.h"
#include "rooksill/runtime/context.h"
#include "rooksill/store/replica.h"
#include "rooksill/wire/controller_messages.h"

namespace rooksill::agent {

// Owns the Worker objects, keyed by machine name. A reference to a worker stays valid until that
// worker is removed.
class WorkerTable {
 public:
  // Workers by machine name.
  using Workers = std::unordered_map<std::string, Worker>;
  // Called with one worker.
  using Visitor = std::function<void(Worker&)>;

  WorkerTable(const runtime::Context& context, const store::Replica& replica)
      : context_(context), replica_(replica) {}

  // Returns the worker of a machine, or null if there is none.
  Worker* find(const std::string& name);
  const Worker* find(const std::string& name) const;
  // Adds the worker of a machine that the store lists in a partition owned by this controller, and
  // marks it as changed.
  void add(const std::string& name, int partition);
  // Removes a worker, if it is in the table. If it is added again, also in another partition, its
  // fencing tokens continue above those used so far.
  void remove(const std::string& name);
  // Removes all workers of a partition; calls `before_removal` for each of them first.
  void remove_partition(int partition, const Visitor& before_removal);

  // Iterates over the workers in no particular order.
  Workers::iterator begin() { return workers_.begin(); }
  Workers::iterator end() { return workers_.end(); }
  Workers::const_iterator begin() const { return workers_.begin(); }
  Workers::const_iterator end() const { return workers_.end(); }
  // Returns the number of workers.
  size_t size() const { return workers_.size(); }
  // Returns whether this controller has no workers.
  bool empty() const { return workers_.empty(); }

  // Records a change that concerns the worker: its capacity and status are recomputed, and it is
  // reconciled with the store at the end of the current pass.
  void mark_changed(Worker& worker);
  // Puts the worker into the list of changed workers for the next pass, although nothing about it
  // has changed.
  void defer(Worker& worker);
  // Returns the names of the changed workers in the order of their changes, and clears the list.
  std::vector<std::string> extract_changed_names();
  // Clears the changed mark of a worker from that list, so that a later change puts it into the
  // next list. Returns null if the worker has been removed or was already claimed.
  Worker* claim_changed(const std::string& name);

  // Returns whether a machine is draining and accepts no new tasks. A name stays marked while its
  // worker is not in the table.
  bool is_draining(const std::string& machine) const { return draining_.count(machine) != 0; }
  // Marks machines as draining, in addition to those already marked.
  void drain(const std::vector<std::string>& machines);
  // Clears the draining mark of all machines.
  void clear_draining();

  // Records the address of a worker of any partition. An empty address is ignored.
  void record_address(const std::string& machine, const std::string& address);
  // Removes the address of a machine, if it is known.
  void remove_address(const std::string& machine) { addresses_.erase(machine); }
  // Drops what is kept about machines whose workers were removed, if they are certain to be in no
  // partition's list any more.
  void forget_released_machines();
  // Returns the known addresses of workers in all partitions, by machine name.
  const std::unordered_map<std::string, std::string>& addresses() const { return addresses_; }

  // Returns addresses to send to the other controllers: those learned since the last call, and a
  // rotating subset of all others, so that an update lost in transit is eventually repeated.
  // Advances the rotation that collect_due_statuses uses too.
  std::vector<wire::MachineAddress> collect_address_updates();
  // A worker whose status may have to be published.
  struct DueStatus {
    Worker* worker;
    bool must_republish;  // publish even an unchanged status
  };
  // Returns the workers whose status may have changed since the last call, and those that the
  // rotation has reached. With `include_all`, every worker is due for republication.
  std::vector<DueStatus> collect_due_statuses(bool include_all);

 private:
  void mark_status_changed(const std::string& machine);

  const runtime::Context& context_;
  const store::Replica& replica_;
  Workers workers_;
  std::vector<std::string> changed_names_;
  std::set<std::string> draining_;
  std::unordered_map<std::string, std::string> addresses_;  // by machine
  // The highest tokens used for workers that were removed, by machine.
  std::unordered_map<std::string, model::FencingToken> last_used_tokens_;
  std::vector<wire::MachineAddress> new_addresses_;
  size_t republish_turn_ = 0;  // counts the calls of collect_address_updates
};

}  // namespace rooksill::agent
