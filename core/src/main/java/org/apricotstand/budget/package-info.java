/** Each instance's share of the weight store's load limits, and token lending between instances. */
package org.apricotstand.budget;
