// Maps image names to integers, because images are compared often.
#pragma once

#include <cstddef>
#include <string>
#include <unordered_map>
#include <vector>

namespace rooksill::store {

// Assigns numbers to image names. Numbers start at 1, are never reused and are valid only within
// this process.
class ImageNumbers {
 public:
  // Returns the image's number and assigns the next one to an image seen for the first time.
  int number_of(const std::string& image) {
    const int next = static_cast<int>(names_.size()) + 1;
    auto [it, added] = numbers_.emplace(image, next);
    if (added) names_.push_back(image);
    return it->second;
  }
  // Returns the image with this number, which must have been returned by number_of().
  const std::string& name_of(int number) const { return names_[static_cast<size_t>(number) - 1]; }

 private:
  std::unordered_map<std::string, int> numbers_;
  std::vector<std::string> names_;  // indexed by number - 1
};

}  // namespace rooksill::store
