#include "almondridge/base/error.h"

namespace almondridge {

std::string describe(const Error &error)
{
    std::string text(nameOf(ErrorKindNames, error.kind_));
    text += ": " + error.message_;
    for (const FieldError &field : error.fields_) {
        text += "\n  " + field.field_ + " = " + field.value_ + ": " + field.remedy_;
    }
    if (!error.remedy_.empty()) {
        text += (error.fields_.empty() ? "; " : "\n") + error.remedy_;
    }
    return text;
}

} // namespace almondridge
