// The partitions' lists of machines, as the leader writes them.
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

// Owns the changes of the lists that the store does not have yet: machines to be added (pending)
// and machines to be removed. A change stays until the replica shows that the store has it; until
// then its page is written again.
//
// A machine may be removed only once the cloud has confirmed its release: a machine in no list
// counts as gone, and its tasks are started elsewhere.
class MachineLists {
 public:
  MachineLists(runtime::Context& context, const store::Replica& replica,
               store::Committer& committer)
      : context_(context), replica_(replica), committer_(committer) {}

  void start_term();

  // Assigns new machines to a partition; with kAnyPartition each goes to the one with the fewest
  // machines of this offer. Names that are pending already, or too long for a list, are ignored.
  void add(const std::vector<std::string>& names, const Offer& offer,
           int partition = kAnyPartition);
  // Takes a released machine out of its list.
  void remove(const std::string& name);

  bool is_addition_pending(const std::string& name) const { return pending_additions_.count(name) != 0; }
  bool is_removal_pending(const std::string& name) const { return pending_removals_.count(name) != 0; }
  // The pending machines that no list has yet, by name.
  std::vector<const model::Machine*> pending_additions() const;
  // How many machines of the offer there are, pending ones included and removed ones not.
  int count_of(const Offer& offer) const;

  // Writes the pages that have to change and are not being written.
  void write_changes();

 private:
  // A page of a partition's list: one value of the store.
  struct PageId {
    int partition = 0;
    int page = 0;
    auto operator<=>(const PageId&) const = default;
  };
  // A partition's machines: those of one offer, then all. Compared in this order.
  struct PartitionSize {
    int of_offer = 0;
    int total = 0;
    auto operator<=>(const PartitionSize&) const = default;
  };
  // The transaction that writes a page, and with it the pages that it is split into.
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
