// The partitions' lists of machines in the store, which the leader writes.
#pragma once

#include <compare>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "rooksill/fleet/offer.h"
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
class MachineLists {
 public:
  MachineLists(runtime::Context& context, const store::Replica& replica,
               store::Committer& committer)
      : context_(context), replica_(replica), committer_(committer) {}

  // Drops the pending changes of a former term.
  void start_term();

  // Adds new machines to a partition's list. With kAnyPartition, each machine is assigned to the
  // partition with the fewest machines of this offer. Ignores names that are empty, already pending
  // or longer than model::kMaxName.
  void add(const std::vector<std::string>& names, const Offer& offer,
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
  // Identifies a page of a partition's list. Each page is one value in the store.
  struct PageId {
    int partition = 0;
    int page = 0;
    auto operator<=>(const PageId&) const = default;
  };
  // Numbers of a partition's machines, of one offer and in total, compared in this order.
  struct PartitionSize {
    int of_offer = 0;
    int total = 0;
    auto operator<=>(const PartitionSize&) const = default;
  };
  // The transaction that writes a page and, if it is split, the new pages.
  struct PageTransaction {
    std::vector<PageId> pages;
    std::vector<std::string> keys;
    std::vector<store::Precondition> preconditions;
    std::vector<store::Write> writes;
  };

  std::vector<PartitionSize> partition_sizes(const Offer& offer) const;
  int page_with_capacity(int partition) const;
  std::set<PageId> changed_pages() const;
  std::map<std::string, model::Machine> plan_page(const PageId& id);
  PageTransaction plan_transaction(const PageId& id);
  void split_page(std::map<std::string, model::Machine>& machines,
                  PageTransaction& transaction) const;
  void write_page(const PageId& id);

  runtime::Context& context_;
  const store::Replica& replica_;
  store::Committer& committer_;
  std::map<std::string, model::Machine> pending_additions_;  // by name
  std::set<std::string> pending_removals_;
  std::set<PageId> pages_in_flight_;
};

}  // namespace rooksill::fleet
