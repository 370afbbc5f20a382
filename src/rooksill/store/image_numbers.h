// Numbers for the names of images, which are compared often.
#pragma once

#include <cstddef>
#include <string>
#include <unordered_map>
#include <vector>

namespace rooksill::store {

// Numbers begin at 1, are never given twice and only mean something in this process.
class ImageNumbers {
 public:
  // The image's number, a new one if it has none yet.
  int number_of(const std::string& image) {
    const int next = static_cast<int>(names_.size()) + 1;
    auto [it, added] = numbers_.emplace(image, next);
    if (added) names_.push_back(image);
    return it->second;
  }
  // `number` has to be one that number_of() gave.
  const std::string& name_of(int number) const { return names_[static_cast<size_t>(number) - 1]; }

 private:
  std::unordered_map<std::string, int> numbers_;
  std::vector<std::string> names_;  // by number, less 1
};

}  // namespace rooksill::store
