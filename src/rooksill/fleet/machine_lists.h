// The partitions' lists of machines in the store, which the leader writes.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "rooksill/fleet/offer.h"
#include "rooksill/model/identifiers.h"
#include "rooksill/model/machine.h"
#include "rooksill/runtime/context.h"
#include "rooksill/store/client.h"
#include "rooksill/store/committer.h"
#include "rooksill/store/replica.h"

namespace rooksill::fleet {

// Holds the pending additions to and removals from the lists. A change stays pending, and its page
// is written again, until the replica of the store contains it.
//
// A machine may be removed only once the cloud has confirmed its release: a machine in no list is
// considered gone, and its tasks are started elsewhere.
//
// A machine belongs in one page of one list: if it were in two, two owners could start tasks there.
// A machine that is listed or is being removed is therefore not added, and an addition moves to
// another page only once the transaction that would have added it to the former page can no longer
// be applied. Machines in several pages, which earlier versions could write, are removed from all
// but one of them.
class MachineLists {
 public:
  MachineLists(runtime::Context& context, const store::Replica& replica,
               store::Committer& committer)
      : context_(context), replica_(replica), committer_(committer) {}

  // Drops the pending changes of a former term.
  void start_term();

  // Adds new machines to a partition's list. With kAnyPartition, each machine is assigned to the
  // partition with the fewest machines of this offer. Ignores names that are empty or longer than
  // model::kMaxNameBytes, and machines that are listed already, pending or being removed: a rental
  // may be answered after its machines were adopted, or repeatedly. Returns how many machines are
  // added.
  size_t add(const std::vector<std::string>& names, const Offer& offer,
             int partition = kAnyPartition);
  // Removes a released machine from its list.
  void remove(const std::string& name);

  // Return whether the change is not yet written to the store.
  bool is_addition_pending(const std::string& name) const {
    return pending_additions_.count(name) != 0;
  }
  bool is_removal_pending(const std::string& name) const {
    return pending_removals_.count(name) != 0;
  }
  // Returns the machines to be added that are in no list of the replica yet, ordered by name.
  std::vector<const model::Machine*> pending_additions() const;
  // Returns the number of machines of the offer, including pending additions and excluding pending
  // removals.
  int count_of(const Offer& offer) const;

  // Writes the changed pages for which no transaction is in flight.
  void write_changes();

 private:
  using PageId = model::MachinePageId;
  using MachinesByName = std::map<std::string, model::Machine>;
  // A transaction that was sent to add a machine to a page. It is applied only while the page has
  // this revision, possibly long after it was sent.
  struct Attempt {
    PageId page;
    model::Revision page_revision = model::kNoRevision;
  };
  struct Addition {
    model::Machine machine;
    std::optional<Attempt> last_attempt;
  };
  // Numbers of a partition's machines, of one offer and in total, compared in this order.
  struct PartitionSize {
    int of_offer = 0;
    int total = 0;
    auto operator<=>(const PartitionSize&) const = default;
  };
  // A transaction that writes pages, including the new ones if a page is split.
  struct PageTransaction {
    std::vector<PageId> pages;
    std::vector<std::string> additions;  // names of the machines that it adds
    std::vector<std::string> keys;
    std::vector<store::Precondition> preconditions;
    std::vector<store::Write> writes;
  };

  bool may_add(const std::string& name) const;
  std::vector<PartitionSize> partition_sizes(const Offer& offer) const;
  int page_with_capacity(int partition) const;
  int page_count(int partition) const;
  model::Revision page_revision(const PageId& id) const;
  // Returns whether the page contains more machines than it should, and may be split.
  bool is_split_due(const PageId& id) const;
  bool is_in_flight(const PageId& id) const { return pages_in_flight_.count(id) != 0; }
  // Returns whether the transaction may still be applied.
  bool is_open(const std::optional<Attempt>& attempt) const;

  void forget_settled_changes();
  std::set<PageId> pages_containing(const std::string& name) const;
  std::set<PageId> changed_pages() const;
  MachinesByName plan_page(const PageId& id);
  void add_pending_machines(const PageId& id, bool with_open_attempt, MachinesByName& machines);
  PageTransaction begin_transaction() const;
  void add_page(const PageId& id, MachinesByName machines, PageTransaction& transaction) const;
  void split_page(const PageId& id, MachinesByName& machines, PageTransaction& transaction) const;
  void write_page(const PageId& id);
  void remove_duplicates();
  void remove_duplicates(const PageId& from, const PageId& kept_in);
  // Returns false if the store's rate limits allow no transaction now.
  bool commit(PageTransaction transaction);

  runtime::Context& context_;
  const store::Replica& replica_;
  store::Committer& committer_;
  std::map<std::string, Addition> pending_additions_;  // by name
  // By name, with the last transaction that was sent to add the machine.
  std::map<std::string, std::optional<Attempt>> pending_removals_;
  std::set<PageId> pages_in_flight_;
  uint64_t term_count_ = 0;  // terms of this process; responses of former ones change nothing
};

}  // namespace rooksill::fleet
