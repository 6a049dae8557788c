/** Declarations of operators: models, adapters, routing, services, targets and limits. */
package org.apricotstand.declaration;
