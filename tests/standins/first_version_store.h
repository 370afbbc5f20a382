// The key-value store as a controller of the version before upgrade records uses it.
#pragma once

#include "standins/http_message.h"
#include "standins/key_value_store.h"

namespace standins {

// Stands between the store and a core of the present version that plays the first version: the core
// writes no record that the first version would not write, and reads none that it would not read.
class FirstVersionStore {
 public:
  explicit FirstVersionStore(KeyValueStore& store) : store_(store) {}

  void handle(double now, const HttpRequest& request,
              const KeyValueStore::ResponseHandler& on_response);

 private:
  KeyValueStore& store_;
};

}  // namespace standins
