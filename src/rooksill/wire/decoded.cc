#include "rooksill/wire/decoded.h"

namespace rooksill::wire {

const char* interface_name(Interface interface) {
  switch (interface) {
    case Interface::kUser:
      return "user";
    case Interface::kWorker:
      return "worker";
    case Interface::kCloud:
      return "cloud";
    case Interface::kStoreProtocol:
      return "store protocol";
    case Interface::kStoreRecord:
      return "store record";
    case Interface::kController:
      return "controller";
  }
  return "unknown";
}

std::string DecodeError::message() const { return field.empty() ? reason : field + ": " + reason; }

std::string DecodeError::describe() const {
  std::string text = std::string(interface_name(interface)) + " message: " + message();
  if (!value.empty()) text += ", is " + value;
  return text;
}

}  // namespace rooksill::wire
