// The partitions' lists of machines as they are in the simulated store.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "rooksill/model/machine.h"
#include "standins/key_value_store.h"

namespace standins {

// Returns the entries of each machine in all pages of the partitions' lists, by name.
std::map<std::string, std::vector<rooksill::model::Machine>> machine_listings(
    const KeyValueStore& store, size_t partitions);

// Returns a description of each machine that is in more than one page, ordered by name.
std::vector<std::string> duplicate_listings(const KeyValueStore& store, size_t partitions);

// Adds the machines to the first page of the next partition too, as versions before the check of
// MachineLists::add() could. The entries there have rental times that are later by `later_s`.
void list_machines_twice(double now, KeyValueStore& store, size_t partitions,
                         const std::vector<std::string>& names, double later_s);

}  // namespace standins
