// The workers of the partitions that this controller owns, and the addresses of all workers.
#pragma once

#include <cstddef>
#include <functional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "rooksill/agent/worker.h"
#include "rooksill/runtime/context.h"
#include "rooksill/store/replica.h"
#include "rooksill/wire/controller_messages.h"

namespace rooksill::agent {

// Owns the Worker values. A reference to one stays valid until that worker is removed.
class WorkerTable {
 public:
  using Workers = std::unordered_map<std::string, Worker>;
  using Visitor = std::function<void(Worker&)>;

  WorkerTable(const runtime::Context& context, const store::Replica& replica)
      : context_(context), replica_(replica) {}

  // Null if there is no such worker.
  Worker* find(const std::string& name);
  const Worker* find(const std::string& name) const;
  // Adds the worker of a machine that the store lists in a partition owned here.
  void add(const std::string& name, int partition);
  void remove(const std::string& name) { workers_.erase(name); }
  // `before_removal` is called for each worker that is about to be removed.
  void remove_partition(int partition, const Visitor& before_removal);

  Workers::iterator begin() { return workers_.begin(); }
  Workers::iterator end() { return workers_.end(); }
  Workers::const_iterator begin() const { return workers_.begin(); }
  Workers::const_iterator end() const { return workers_.end(); }
  size_t size() const { return workers_.size(); }
  bool empty() const { return workers_.empty(); }

  // Something that concerns the worker changed: its capacity and status are computed anew, and it
  // is compared with the store at the end of this pass.
  void mark_changed(Worker& worker);
  // Keeps the worker for the next pass, without anything new about it.
  void defer(Worker& worker);
  // The names of the workers that changed, in the order in which they did. The list starts over.
  std::vector<std::string> take_changed();
  // Resets the mark of a worker from that list, so that what changes from now on puts it into the
  // next one. Null if the worker has been removed, or was claimed already.
  Worker* claim_changed(const std::string& name);

  // Drained machines take no tasks. A name stays marked while its worker is not in the table.
  bool draining(const std::string& machine) const { return draining_.count(machine) != 0; }
  void drain(const std::vector<std::string>& machines);
  void clear_draining();

  // Addresses of workers in all partitions, as far as anybody has told.
  void record_address(const std::string& machine, const std::string& address);
  void forget_address(const std::string& machine) { addresses_.erase(machine); }
  const std::unordered_map<std::string, std::string>& addresses() const { return addresses_; }

  // For the other controllers: addresses learned since the last call, and some of the others in
  // turn, so that what was lost on the way is made good. Begins the next turn.
  std::vector<wire::MachineAddress> take_addresses();
  // The workers whose status may have changed since the last call, and those whose turn it is; with
  // `all` it is everybody's.
  struct StatusDue {
    Worker* worker;
    bool turn;  // published again even if it is the same
  };
  std::vector<StatusDue> take_status_due(bool all);

 private:
  void mark_status_changed(const std::string& machine);

  const runtime::Context& context_;
  const store::Replica& replica_;
  Workers workers_;
  std::vector<std::string> changed_;
  std::set<std::string> draining_;
  std::unordered_map<std::string, std::string> addresses_;  // by machine
  std::vector<wire::MachineAddress> new_addresses_;
  size_t turn_ = 0;
};

}  // namespace rooksill::agent
