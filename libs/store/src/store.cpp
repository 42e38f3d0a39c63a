#include "almondridge/store/store.h"
