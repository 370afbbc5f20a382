// The key-value store as used by a controller of the first version, which predates upgrade records.
#pragma once

#include "standins/http_message.h"
#include "standins/key_value_store.h"

namespace standins {

// A proxy between the store and a controller core of the current version that simulates the first
// version. It refuses writes of records that the first version does not write, and hides records
// that it does not read.
class FirstVersionStore {
 public:
  explicit FirstVersionStore(KeyValueStore& store) : store_(store) {}

  // Executes a request. A transaction with a record unknown to the first version fails with 409; a
  // read of such a record returns 404.
  void handle(double now, const HttpRequest& request,
              const KeyValueStore::ResponseHandler& on_response);

 private:
  KeyValueStore& store_;
};

}  // namespace standins
