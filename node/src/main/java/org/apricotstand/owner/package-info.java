/** Owner side of model requests: drives the schedulers of the engines that this instance owns. */
package org.apricotstand.owner;
