// The machines in the partitions' lists, by page and by name.
#pragma once

#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "rooksill/model/identifiers.h"
#include "rooksill/model/machine.h"

namespace rooksill::store {

// One page of the list of a partition's machines; each page is one value in the store.
struct MachinePage {
  model::Revision revision = model::kNoRevision;
  std::map<std::string, model::Machine> machines;  // by name
};

// Holds the pages and, derived from them, one record for each machine that is in any page. There is
// no other way to add a record, so a machine has one exactly while a page names it.
//
// A machine belongs in one page. Where several pages contain it, as earlier versions could write
// them, the record is the entry that was listed first, that is, the one with the earliest rental
// time; after that the one of the lowest partition, the most recently written page and the lowest
// page number. The choice depends on the pages alone, so that all controllers that know the same
// pages agree on a machine's partition, in whatever order they have read them.
class MachineDirectory {
 public:
  explicit MachineDirectory(size_t partitions) : pages_(partitions) {}

  // Returns the machine's record; nullptr if the machine is in no page.
  const model::Machine* find(const std::string& name) const;
  // Returns the records of all machines, by name.
  const std::unordered_map<std::string, model::Machine>& machines() const { return machines_; }
  // Returns the pages, indexed by partition, then page.
  const std::vector<std::vector<MachinePage>>& pages() const { return pages_; }
  // Returns the page; nullptr if it has never been read or written.
  const MachinePage* page(const model::MachinePageId& id) const;
  // Returns the highest revision of any page.
  model::Revision newest_revision() const { return newest_revision_; }
  // Returns the machines that are in more than one page, each with all of its pages.
  const std::map<std::string, std::set<model::MachinePageId>>& duplicates() const {
    return duplicates_;
  }

  // Replaces the entries of a page by `listed`. The partition has to exist. Returns the names of
  // the machines that were added, are gone, or belong to another partition now.
  std::vector<std::string> replace_page(const model::MachinePageId& id,
                                        const std::map<std::string, model::Machine>& listed,
                                        model::Revision revision);

 private:
  MachinePage& get_or_add_page(const model::MachinePageId& id);
  void add_entry(const model::MachinePageId& id, const model::Machine& machine);
  void remove_entry(const model::MachinePageId& id, const std::string& name);
  // Sets the record of a machine that is in these pages.
  void choose_record(const std::string& name, const std::set<model::MachinePageId>& containing);

  std::vector<std::vector<MachinePage>> pages_;
  std::unordered_map<std::string, model::Machine> machines_;
  std::map<std::string, std::set<model::MachinePageId>> duplicates_;
  model::Revision newest_revision_ = model::kNoRevision;
};

}  // namespace rooksill::store
